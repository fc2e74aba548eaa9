package server_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"monsoonspar.example/demonstrator"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// cannedEngine answers every generation with fixed tokens. It does as little work as
// possible, so that the benchmarks measure the daemon.
type cannedEngine struct {
	gap time.Duration // Delay between tokens; zero sends them all at once.
}

// tokensOf returns the max_tokens of a request body.
func tokensOf(body []byte) int {
	n := 0
	if i := bytes.Index(body, []byte(`"max_tokens":`)); i >= 0 {
		_, _ = fmt.Sscanf(string(body[i:]), `"max_tokens":%d`, &n)
	}
	return n
}

// attemptOf returns the attempt id of a request body.
func attemptOf(body []byte) string {
	const field = `"attempt_id":"`
	i := bytes.Index(body, []byte(field))
	if i < 0 {
		return "direct"
	}
	rest := body[i+len(field):]
	return string(rest[:bytes.IndexByte(rest, '"')])
}

func (e cannedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/completions" {
		_, _ = io.WriteString(w, `{"age_ms":0,"step_ms":1,"memory_tokens":100000000,"block_tokens":16,"boot_id":"b","models":[{"model":"redazione","version":"v1"}]}`)
		return
	}
	body, _ := io.ReadAll(r.Body)
	n, id := tokensOf(body), attemptOf(body)
	var buf []byte
	for i := range n {
		finish := "null"
		if i == n-1 {
			finish = `"stop"`
		}
		buf = fmt.Appendf(buf, "id: %d\ndata: {\"attempt_id\":%q,\"index\":%d,\"choices\":[{\"index\":0,\"text\":\" word\",\"finish_reason\":%s}]}\n\n", i, id, i, finish)
		if e.gap > 0 {
			_, _ = w.Write(buf)
			w.(http.Flusher).Flush()
			buf = buf[:0]
			time.Sleep(e.gap)
		}
	}
	_, _ = w.Write(append(buf, "data: [DONE]\n\n"...))
}

// benchDeployment starts one daemon with a canned engine and returns the addresses
// of both.
func benchDeployment(b *testing.B, gap time.Duration) (daemon, engine string) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	srv := &http.Server{Handler: cannedEngine{gap: gap}}
	var g conc.WaitGroup
	g.Go(func() { _ = srv.Serve(l) })
	d, err := demonstrator.Start(demonstrator.Config{Daemons: 1, EngineAddrs: []string{l.Addr().String()}, Log: zerolog.Nop()})
	assert.NilError(b, err)
	b.Cleanup(func() {
		d.Close()
		_ = srv.Close()
		g.Wait()
	})
	for !d.Daemons[0].Ready() {
		time.Sleep(time.Millisecond)
	}
	return d.DaemonAddrs[0].Callers, l.Addr().String()
}

// openStream starts a stream of n tokens.
func openStream(b *testing.B, addr string, n int) *http.Response {
	b.Helper()
	body := fmt.Sprintf(`{"model":"redazione","prompt":"p","stream":true,"max_tokens":%d}`, n)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(body))
	assert.NilError(b, err)
	req.Header.Set("Authorization", "Bearer "+demonstrator.APIKey)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(b, err)
	if res.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(res.Body)
		b.Fatalf("%s: %s", res.Status, message)
	}
	return res
}

// quantile returns a quantile of durations, in microseconds.
func quantile(ds []time.Duration, q float64) float64 {
	slices.Sort(ds)
	return float64(ds[int(q*float64(len(ds)-1))].Nanoseconds()) / 1000
}

// eachPath runs a benchmark against the engine directly and through the daemon.
func eachPath(b *testing.B, gap time.Duration, run func(b *testing.B, addr string)) {
	daemon, engine := benchDeployment(b, gap)
	b.Run("direct", func(b *testing.B) { run(b, engine) })
	b.Run("daemon", func(b *testing.B) { run(b, daemon) })
}

// BenchmarkFirstToken measures the time to the first token.
func BenchmarkFirstToken(b *testing.B) {
	eachPath(b, 0, func(b *testing.B, addr string) {
		var times []time.Duration
		for b.Loop() {
			start := time.Now()
			res := openStream(b, addr, 1)
			_, err := bufio.NewReader(res.Body).ReadString('}')
			assert.NilError(b, err)
			times = append(times, time.Since(start))
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
		b.ReportMetric(quantile(times, 0.5), "p50-us")
		b.ReportMetric(quantile(times, 0.99), "p99-us")
	})
}

// BenchmarkTokenGap measures the gaps between tokens that the engine sends every
// 5 ms.
func BenchmarkTokenGap(b *testing.B) {
	const tokens = 200
	eachPath(b, 5*time.Millisecond, func(b *testing.B, addr string) {
		var gaps []time.Duration
		for b.Loop() {
			res := openStream(b, addr, tokens)
			last := time.Time{}
			sc := bufio.NewScanner(res.Body)
			for sc.Scan() {
				if !strings.HasPrefix(sc.Text(), "data: {") {
					continue
				}
				now := time.Now()
				if !last.IsZero() {
					gaps = append(gaps, now.Sub(last))
				}
				last = now
			}
			_ = res.Body.Close()
		}
		b.ReportMetric(quantile(gaps, 0.5), "p50-us")
		b.ReportMetric(quantile(gaps, 0.99), "p99-us")
	})
}

// cpuTime returns the processor time of this process.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkForward measures the processor time per forwarded token. The engine and
// the caller run in the same process and are included in both runs; the difference
// to the direct run is the cost of the daemon.
func BenchmarkForward(b *testing.B) {
	const tokens = 1000
	eachPath(b, 0, func(b *testing.B, addr string) {
		start := cpuTime(b)
		n := 0
		for b.Loop() {
			res := openStream(b, addr, tokens)
			_, err := io.Copy(io.Discard, res.Body)
			assert.NilError(b, err)
			_ = res.Body.Close()
			n += tokens
		}
		b.ReportMetric(float64((cpuTime(b)-start).Nanoseconds())/float64(n), "cpu-ns/token")
	})
}

// BenchmarkStreamMemory measures the memory of a stream that waits for its next
// token. Both ends of both connections are in this process.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 300
	eachPath(b, time.Second, func(b *testing.B, addr string) {
		var before, after runtime.MemStats
		for b.Loop() {
			runtime.GC()
			runtime.ReadMemStats(&before)
			responses := make([]*http.Response, 0, streams)
			for range streams {
				responses = append(responses, openStream(b, addr, 100)) //nolint:bodyclose // Closed below.
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for _, res := range responses {
				_ = res.Body.Close()
			}
		}
		used := after.HeapInuse + after.StackInuse - before.HeapInuse - before.StackInuse
		b.ReportMetric(float64(used)/streams, "bytes/stream")
	})
}
