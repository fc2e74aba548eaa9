package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"monsoonspar.example/demonstrator"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// demoCmd shows the main job on loopback.
type demoCmd struct{}

// Bounds of the demo.
const (
	demoDaemons  = 3
	demoEngines  = 2
	demoStep     = 15 * time.Millisecond
	demoTimeout  = 25 * time.Second
	demoInterval = 50 * time.Millisecond
)

// Help describes the command at length.
func (*demoCmd) Help() string {
	return `Brings up a platform, two engines and a service as stand-ins and three daemons,
all in this process and on loopback, streams a few generations, files one
correction twice under one Idempotency-Key, drains a daemon and prints a summary.`
}

// demo is a running demonstration.
type demo struct {
	d *demonstrator.Deployment
	w io.Writer
}

// Run shows everything and closes it.
func (*demoCmd) Run(ctx context.Context, c console) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d, err := demonstrator.Start(demonstrator.Config{
		Daemons: demoDaemons, Engines: demoEngines, StepTime: demoStep,
		BalancerLag: 200 * time.Millisecond, Log: zerolog.New(c.Stderr).Level(zerolog.WarnLevel),
	})
	if err != nil {
		return err
	}
	defer d.Close()
	return demo{d: d, w: c.Stdout}.run(ctx)
}

// run shows each step in turn.
func (d demo) run(ctx context.Context) error {
	fmt.Fprintf(d.w, "Three daemons, two engines, one service and a platform run on loopback.\n")
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(d.w, "The manifest is in force at every daemon.\n\n")
	tokens := 0
	for i := range d.d.Daemons {
		n, err := d.stream(ctx, i)
		if err != nil {
			return err
		}
		tokens += n
	}
	runs, err := d.fileTwice(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.w, "\nDraining daemon-0 ...")
	if err := d.d.Daemons[0].Stop(); err != nil {
		return err
	}
	fmt.Fprintf(d.w, " done.\n\nSummary: %d tokens in %d streams, a correction filed twice ran %d time, one daemon drained.\n",
		tokens, len(d.d.Daemons), runs)
	return nil
}

// waitReady waits until every daemon has a manifest in force.
func (d demo) waitReady(ctx context.Context) error {
	t := time.NewTicker(demoInterval)
	defer t.Stop()
	for _, s := range d.d.Daemons {
		for !s.Ready() {
			select {
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "wait for the manifest")
			case <-t.C:
			}
		}
	}
	return nil
}

// do sends a request of the sample customer to a daemon.
func (d demo) do(ctx context.Context, daemon int, path, key, body string) (*http.Response, error) {
	url := "http://" + d.d.Addrs[daemon].Callers + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+demonstrator.APIKey)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	res, err := http.DefaultClient.Do(req)
	return res, errors.WithStack(err)
}

// demoChunk is what the demo reads of a token.
type demoChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// stream prints a generation as its tokens arrive and returns their number.
func (d demo) stream(ctx context.Context, daemon int) (int, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":24,"messages":[{"role":"user","content":"Draft clarification %d"}]}`, demonstrator.Model, daemon)
	res, err := d.do(ctx, daemon, "/v1/chat/completions", "", body)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return 0, errors.Errorf("stream through daemon-%d: %s", daemon, res.Status)
	}
	fmt.Fprintf(d.w, "daemon-%d:", daemon)
	defer fmt.Fprintln(d.w)
	n := 0
	sc := bufio.NewScanner(res.Body)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return n, nil
		}
		var ch demoChunk
		if err := json.Unmarshal([]byte(data), &ch); err != nil || len(ch.Choices) == 0 {
			return n, errors.Errorf("stream through daemon-%d: %s", daemon, data)
		}
		fmt.Fprint(d.w, " "+tokenNumber(ch.Choices[0].Delta.Content))
		n++
	}
	return n, errors.Errorf("stream through daemon-%d ended early", daemon)
}

// tokenNumber returns the number at the end of a token of the stand-in, whose
// texts are marks for tests.
func tokenNumber(text string) string {
	text = strings.TrimSpace(text)
	return text[strings.LastIndex(text, "-")+1:]
}

// fileTwice files one correction at two daemons under one key and returns how
// often the service ran it.
func (d demo) fileTwice(ctx context.Context) (int, error) {
	fmt.Fprintln(d.w)
	for daemon := range 2 {
		res, err := d.do(ctx, daemon, "/services/"+demonstrator.Service+"/corrections", "correction-17", `{"entry":17}`)
		if err != nil {
			return 0, err
		}
		_ = res.Body.Close()
		fmt.Fprintf(d.w, "Filed correction 17 through daemon-%d: %s, replayed=%t\n", daemon, res.Status, res.Header.Get("Idempotency-Replayed") == "true")
	}
	res, err := http.Get("http://" + d.d.ServiceAddr + "/runs")
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = res.Body.Close() }()
	var report struct {
		Total int `json:"total"`
	}
	if err := json.NewDecoder(res.Body).Decode(&report); err != nil {
		return 0, errors.WithStack(err)
	}
	if report.Total != 1 {
		return report.Total, errors.Errorf("the correction ran %d times", report.Total)
	}
	return report.Total, nil
}
