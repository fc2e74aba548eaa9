package server_test

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoonspar.example/demonstrator"
	"monsoonspar.example/server"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

const (
	daemons         = 3
	watchdogTimeout = 30 * time.Second // Ends a test that would otherwise hang; the daemons are not required to be that fast.
)

// cluster is a deployment under test.
type cluster struct {
	*demonstrator.Deployment
	t     *testing.T
	group conc.WaitGroup
}

// newCluster starts a deployment and waits until all daemons are ready.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	d, err := demonstrator.Start(demonstrator.Config{
		Daemons: daemons, Engines: 2, StepTime: 2 * time.Millisecond, BalancerLag: 100 * time.Millisecond,
		Log: zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.InfoLevel),
	})
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	c := &cluster{Deployment: d, t: t}
	for i := range daemons {
		c.waitReady(i)
	}
	return c
}

// waitReady waits until a daemon has a manifest and all other daemons are in its
// membership.
func (c *cluster) waitReady(i int) {
	c.t.Helper()
	c.eventually(func() bool {
		st := c.status(i)
		return st.Ready && len(st.Members) == daemons
	})
}

// status reads the status of a daemon.
func (c *cluster) status(i int) server.Status {
	c.t.Helper()
	var st server.Status
	res, err := http.Get("http://" + c.DaemonAddrs[i].Admin + "/status")
	assert.NilError(c.t, err)
	defer res.Body.Close()
	assert.NilError(c.t, json.NewDecoder(res.Body).Decode(&st))
	return st
}

// eventually waits until ok returns true.
func (c *cluster) eventually(ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(watchdogTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatal("the condition was not met in time")
		}
	}
}

// runs returns the number of calls that the plain service has run.
func (c *cluster) runs() int {
	c.t.Helper()
	var report struct{ Total int }
	res, err := http.Get("http://" + c.ServiceAddr + "/runs")
	assert.NilError(c.t, err)
	defer res.Body.Close()
	assert.NilError(c.t, json.NewDecoder(res.Body).Decode(&report))
	return report.Total
}

// post sends a POST request to a daemon.
func (c *cluster) post(daemon int, path, body string, header map[string]string) *http.Response {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+c.DaemonAddrs[daemon].Callers+path, strings.NewReader(body))
	assert.NilError(c.t, err)
	req.Header.Set("Authorization", "Bearer "+demonstrator.APIKey)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	assert.NilError(c.t, err)
	return res
}

// event is one server-sent event.
type event struct {
	id, data string
}

// readEvents reads up to n events of a stream, or all for a negative n.
func readEvents(t *testing.T, r io.Reader, n int) []event {
	t.Helper()
	var events []event
	var ev event
	sc := bufio.NewScanner(r)
	for sc.Scan() && len(events) != n {
		line := sc.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			ev.id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			ev.data = line[len("data: "):]
		case line == "" && ev.data != "":
			events = append(events, ev)
			ev = event{}
		}
	}
	return events
}

func TestStreamThroughEachDaemon(t *testing.T) {
	c := newCluster(t)
	for i := range c.Daemons {
		res := c.post(i, "/v1/chat/completions", `{"model":"redazione","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"write a notice"}]}`, nil)
		defer res.Body.Close()
		assert.Equal(t, res.StatusCode, 200)
		events := readEvents(t, res.Body, -1)
		assert.Assert(t, len(events) > 1)
		assert.Equal(t, events[len(events)-1].data, "[DONE]")
	}
}

func TestUnstreamedAnswer(t *testing.T) {
	c := newCluster(t)
	res := c.post(0, "/v1/completions", `{"model":"redazione","max_tokens":8,"prompt":"does this match?"}`, nil)
	defer res.Body.Close()
	var body bytes.Buffer
	_, err := body.ReadFrom(res.Body)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, 200, body.String())
	assert.Assert(t, strings.Contains(body.String(), `"object":"text_completion"`), body.String())
}

func TestResumeAtAnotherDaemon(t *testing.T) {
	c := newCluster(t)
	res := c.post(0, "/v1/completions", `{"model":"redazione","stream":true,"max_tokens":300,"prompt":"a long notice"}`, nil)
	first := readEvents(t, res.Body, 5)
	assert.NilError(t, res.Body.Close())
	res = c.post(1, "/v1/completions", `{}`, map[string]string{"Last-Event-ID": first[4].id})
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, 200)
	rest := readEvents(t, res.Body, -1)
	assert.Assert(t, strings.HasPrefix(rest[0].id, "5."), rest[0].id)
	assert.Equal(t, rest[len(rest)-1].data, "[DONE]")
}

func TestForgedEventIDIsRefused(t *testing.T) {
	c := newCluster(t)
	res := c.post(1, "/v1/completions", `{}`, map[string]string{"Last-Event-ID": "3.AAAA.BBBB"})
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, 400)
	assert.Equal(t, res.Header.Get("Outcome"), "not_run")
}

func TestAbandonedGenerationIsCancelled(t *testing.T) {
	c := newCluster(t)
	res := c.post(0, "/v1/completions", `{"model":"redazione","stream":true,"max_tokens":4000,"prompt":"a very long notice"}`, nil)
	readEvents(t, res.Body, 3)
	assert.NilError(t, res.Body.Close())
	c.eventually(func() bool { return c.status(0).Permits == 0 })
}

func TestKeyedCallRunsOnce(t *testing.T) {
	c := newCluster(t)
	header := map[string]string{"Idempotency-Key": "k1"}
	for i := range 3 {
		res := c.post(i, "/services/registro-app/corrections", `{"n":1}`, header)
		assert.Equal(t, res.StatusCode, 200, res.Header.Get("Outcome"))
		assert.Equal(t, res.Header.Get("Idempotency-Replayed") == "true", i > 0)
		assert.NilError(t, res.Body.Close())
	}
	res := c.post(1, "/services/registro-app/corrections", `{"n":2}`, header)
	assert.Equal(t, res.StatusCode, 422)
	assert.NilError(t, res.Body.Close())
	assert.Equal(t, c.runs(), 1)
}

func TestKeyedGenerationRunsOnce(t *testing.T) {
	c := newCluster(t)
	header := map[string]string{"Idempotency-Key": "g1", "Non-Idempotent": "true"}
	body := `{"model":"redazione","max_tokens":10,"prompt":"file it"}`
	var texts []string
	for i := range 3 {
		res := c.post(i, "/v1/completions", body, header)
		var got struct {
			Choices []struct{ Text string }
		}
		assert.Equal(t, res.StatusCode, 200)
		assert.NilError(t, json.NewDecoder(res.Body).Decode(&got))
		assert.NilError(t, res.Body.Close())
		texts = append(texts, got.Choices[0].Text)
	}
	assert.Equal(t, texts[0], texts[1])
	assert.Equal(t, texts[0], texts[2])
}

func TestBadInputIsRefused(t *testing.T) {
	c := newCluster(t)
	tests := []struct {
		name, path, body string
		header           map[string]string
		status           int
		code             string
	}{
		{"no JSON", "/v1/completions", `{`, nil, 400, "malformed_json"},
		{"not UTF-8", "/v1/completions", "{\"prompt\":\"\xff\"}", nil, 400, "not_utf8"},
		{"no prompt", "/v1/completions", `{"model":"redazione"}`, nil, 400, "no_prompt"},
		{"no messages", "/v1/chat/completions", `{"model":"redazione"}`, nil, 400, "no_messages"},
		{"unknown model", "/v1/completions", `{"model":"x","prompt":"p"}`, nil, 404, "model_not_found"},
		{"unknown version", "/v1/completions", `{"model":"redazione@v9","prompt":"p"}`, nil, 404, "model_not_found"},
		{"max_tokens above the limit", "/v1/completions", `{"model":"redazione","prompt":"p","max_tokens":999999999}`, nil, 400, "max_tokens_out_of_range"},
		{"max_tokens of 0", "/v1/completions", `{"model":"redazione","prompt":"p","max_tokens":0}`, nil, 400, "max_tokens_out_of_range"},
		{"negative timeout", "/v1/completions", `{"model":"redazione","prompt":"p"}`, map[string]string{"Request-Timeout-Ms": "-1"}, 400, "timeout_out_of_range"},
		{"unknown customer", "/v1/completions", `{}`, map[string]string{"Authorization": "Bearer nobody"}, 401, "unknown_customer"},
		{"no key", "/v1/completions", `{}`, map[string]string{"Authorization": ""}, 401, "no_api_key"},
		{"unknown service", "/services/x/y", `{}`, nil, 404, "service_not_found"},
		{"long idempotency key", "/services/registro-app/corrections", `{}`, map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}, 400, "idempotency_key_invalid"},
		{"prompt beyond the context", "/v1/completions", `{"model":"redazione","prompt":"` + strings.Repeat("x", 140_000) + `"}`, nil, 400, "context_exceeded"},
		{"body beyond the limit", "/v1/completions", `{"model":"redazione","prompt":"` + strings.Repeat("x", 2<<20) + `"}`, nil, 413, "body_too_large"},
		{"no such path", "/v2/completions", `{}`, nil, 404, "not_found"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			res := c.post(0, tt.path, tt.body, tt.header)
			defer res.Body.Close()
			var got struct {
				Error struct{ Code, Outcome string }
			}
			assert.NilError(t, json.NewDecoder(res.Body).Decode(&got))
			assert.Equal(t, res.StatusCode, tt.status)
			assert.Equal(t, got.Error.Code, tt.code)
			assert.Equal(t, got.Error.Outcome, "not_run")
		})
	}
}

func TestEncodedPathStaysNonIdempotent(t *testing.T) {
	c := newCluster(t)
	for range 2 {
		res := c.post(0, "/services/registro-app/%63orrections", `{"n":1}`, map[string]string{"Idempotency-Key": "enc"})
		assert.Equal(t, res.StatusCode, 200)
		assert.NilError(t, res.Body.Close())
	}
	assert.Equal(t, c.runs(), 1)
}

func TestStopDoesNotInterruptStreams(t *testing.T) {
	c := newCluster(t)
	res := c.post(2, "/v1/completions", `{"model":"redazione","stream":true,"max_tokens":400,"prompt":"a long notice"}`, nil)
	defer res.Body.Close()
	readEvents(t, res.Body, 2)
	stopped := make(chan error, 1)
	c.group.Go(func() { stopped <- c.Daemons[2].Stop() })
	rest := readEvents(t, res.Body, -1)
	assert.Equal(t, rest[len(rest)-1].data, "[DONE]")
	assert.NilError(t, <-stopped)
}

func TestChangedManifestIsInForceEverywhere(t *testing.T) {
	c := newCluster(t)
	err := c.Apply(t.Context(), c.Manifest+"[customer nuova]\npriority = newsroom\nweight = 1\n")
	assert.NilError(t, err)
	for i := range c.Daemons {
		c.eventually(func() bool { return c.status(i).Generation == 2 })
	}
}

func TestDeclaredVersionIsLoaded(t *testing.T) {
	c := newCluster(t)
	text := strings.Replace(c.Manifest, "versions = v1", "versions = v1, v2", 1)
	text = strings.Replace(text, "models = redazione@v1", "models = redazione@v1, redazione@v2", 1)
	assert.NilError(t, c.Apply(t.Context(), text))
	body := `{"model":"redazione@v2","max_tokens":4,"prompt":"p"}`
	c.eventually(func() bool {
		res := c.post(0, "/v1/completions", body, nil)
		defer res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	held := 0
	for i := range c.Daemons {
		if st := c.status(i); st.Lease.Held {
			held++
		}
	}
	assert.Equal(t, held, 1)
}

func TestDrainedEndpointGetsNoNewWork(t *testing.T) {
	c := newCluster(t)
	assert.NilError(t, c.Apply(t.Context(), strings.Replace(c.Manifest, "[endpoint engine-0]\n", "[endpoint engine-0]\ndraining = true\n", 1)))
	for i := range c.Daemons {
		c.eventually(func() bool { return c.status(i).Generation == 2 })
		for range 5 {
			res := c.post(i, "/v1/completions", `{"model":"redazione","stream":true,"max_tokens":2,"prompt":"p"}`, nil)
			events := readEvents(t, res.Body, 1)
			assert.NilError(t, res.Body.Close())
			position := strings.Split(events[0].id, ".")[1]
			name, err := base64.RawURLEncoding.DecodeString(position)
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(string(name), "engine-1"), string(name))
		}
	}
}
