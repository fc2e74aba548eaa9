package server_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoonspar.example/demonstrator"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// Durations of a measurement of the control overhead.
const (
	settleTime  = 6 * time.Second // Until membership and leases have settled.
	measureTime = 10 * time.Second
)

// controlCost is the control overhead of a deployment since its start.
type controlCost struct {
	sent  float64        // Bytes sent between daemons, in total.
	calls map[string]int // Calls to the platform by method.
	cpu   time.Duration  // Processor time of the whole process, including the stand-ins.
}

// readJSON decodes the JSON response of a GET request into out.
func readJSON(b *testing.B, url string, out any) {
	b.Helper()
	res, err := http.Get(url)
	assert.NilError(b, err)
	defer func() { _ = res.Body.Close() }()
	assert.NilError(b, json.NewDecoder(res.Body).Decode(out))
}

// readCost reads the control overhead of a deployment.
func readCost(b *testing.B, d *demonstrator.Deployment) controlCost {
	b.Helper()
	c := controlCost{cpu: cpuTime(b)}
	readJSON(b, "http://"+d.PlatformAddr+"/calls", &c.calls)
	for _, a := range d.DaemonAddrs {
		var vars struct {
			Daemon struct {
				Sent float64 `json:"control_bytes_sent"`
			} `json:"monsoonspar"`
		}
		readJSON(b, "http://"+a.Admin+"/debug/vars", &vars)
		c.sent += vars.Daemon.Sent
	}
	return c
}

// report reports the cost per second between two readings.
func report(b *testing.B, before, after controlCost, daemons int) {
	b.Helper()
	seconds := measureTime.Seconds()
	b.ReportMetric((after.sent-before.sent)/seconds/float64(daemons), "sent-B/s/daemon")
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		b.ReportMetric(float64(after.calls[method]-before.calls[method])/seconds, method+"/s")
	}
	b.ReportMetric((after.cpu-before.cpu).Seconds()/seconds/float64(daemons)*100, "cpu-%/daemon")
	b.ReportMetric(0, "ns/op")
}

// runPaced calls fn rate times a second for measureTime.
func runPaced(rate int, fn func(i int)) {
	if rate == 0 {
		time.Sleep(measureTime)
		return
	}
	var g conc.WaitGroup
	defer g.Wait()
	start := time.Now()
	for i := range int(measureTime.Seconds()) * rate {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		g.Go(func() { fn(i) })
	}
}

// measureControl runs load against a deployment and reports the control overhead.
func measureControl(b *testing.B, daemons, rate int, load func(d *demonstrator.Deployment, i int)) {
	d, err := demonstrator.Start(demonstrator.Config{Daemons: daemons, Engines: daemons, StepTime: time.Millisecond, Log: zerolog.Nop()})
	assert.NilError(b, err)
	defer d.Close()
	for _, s := range d.Daemons {
		for !s.Ready() {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	for b.Loop() {
		before := readCost(b, d)
		runPaced(rate, func(i int) { load(d, i) })
		report(b, before, readCost(b, d), daemons)
	}
}

// BenchmarkControl measures the control overhead of a deployment with as many
// engines as daemons, idle and under generations of 20 tokens. Run it with
// -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	for _, c := range []struct{ daemons, rate int }{{1, 0}, {3, 0}, {7, 0}, {14, 0}, {7, 70}, {7, 140}, {14, 140}, {14, 280}} {
		b.Run(fmt.Sprintf("daemons=%d/requests=%d", c.daemons, c.rate), func(b *testing.B) {
			measureControl(b, c.daemons, c.rate, func(d *demonstrator.Deployment, i int) {
				res := openStream(b, d.DaemonAddrs[i%c.daemons].Callers, 20)
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			})
		})
	}
}

// BenchmarkClaims measures the platform calls and the other control overhead of
// claimed calls to a plain service. Run it with -benchtime 1x.
func BenchmarkClaims(b *testing.B) {
	for _, rate := range []int{10, 30, 60} {
		b.Run(fmt.Sprintf("claims=%d", rate), func(b *testing.B) {
			measureControl(b, 3, rate, func(d *demonstrator.Deployment, i int) {
				url := "http://" + d.DaemonAddrs[i%3].Callers + "/services/" + demonstrator.Service + "/corrections"
				req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"n":1}`))
				assert.NilError(b, err)
				req.Header.Set("Authorization", "Bearer "+demonstrator.APIKey)
				req.Header.Set("Idempotency-Key", fmt.Sprintf("claim-%d", i))
				res, err := http.DefaultClient.Do(req)
				assert.NilError(b, err)
				assert.Equal(b, res.StatusCode, http.StatusOK)
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			})
		})
	}
}

// BenchmarkVMList measures the cost of watching the list of VMs for the one daemon
// of a failure domain that does so: bytes of one list, and calls and bytes per
// second. Run it with -benchtime 1x.
func BenchmarkVMList(b *testing.B) {
	for _, vms := range []int{21, 121, 1210} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			d, err := demonstrator.Start(demonstrator.Config{Daemons: 1, Engines: 1, StepTime: time.Millisecond, Log: zerolog.Nop()})
			assert.NilError(b, err)
			defer d.Close()
			for i := range vms {
				body := fmt.Sprintf(`{"name":"vm-%04d","addr":"10.20.%d.%d","domain":"milano-a","role":"endpoint","state":"live"}`, i, i/250, i%250)
				res, err := http.Post("http://"+d.PlatformAddr+"/vms", "application/json", strings.NewReader(body))
				assert.NilError(b, err)
				_ = res.Body.Close()
			}
			time.Sleep(settleTime)
			for b.Loop() {
				before := readCost(b, d)
				time.Sleep(measureTime)
				report(b, before, readCost(b, d), 1)
			}
			res, err := http.Get("http://" + d.PlatformAddr + "/apis/monsoonspar.example/v1/namespaces/registro/vms")
			assert.NilError(b, err)
			list, err := io.ReadAll(res.Body)
			assert.NilError(b, err)
			_ = res.Body.Close()
			b.ReportMetric(float64(len(list)), "list-B")
		})
	}
}
