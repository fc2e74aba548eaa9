package pacer

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/standin/caller"
	"monsoonspar.example/standin/marker"
)

func config() Config {
	return Config{
		Addrs: []string{"a", "b"}, Keys: []string{"k"}, Models: []string{"m"},
		Rate: 200, Duration: time.Second, Seed: 7, MedianTokens: 20, Spread: 1, MaxTokens: 50,
		FilingShare: 0.5, FilingPath: "/services/log/corrections", Returns: 1,
	}
}

func TestPlanDependsOnSeedAlone(t *testing.T) {
	first, again := plan(config()), plan(config())
	assert.Assert(t, len(first) > 100)
	assert.Equal(t, len(first), len(again))
	for i := range first {
		assert.Equal(t, first[i], again[i])
	}
	other := config()
	other.Seed = 8
	assert.Assert(t, plan(other)[0] != first[0])
}

// refuser refuses each request once and answers it wrongly afterwards.
type refuser struct{ seen chan string }

func (r refuser) Do(_ context.Context, req requester.Request) (requester.Response, error) {
	r.seen <- req.Addr
	body := `{"error":{"code":"busy","outcome":"not_run","retry_after_ms":1}}`
	status := 503
	if len(r.seen) == 2 {
		status = 200
		body = `{"choices":[{"text":"` + marker.Token{ID: "other", Generation: "g"}.String() + `","finish_reason":"stop"}],"usage":{"completion_tokens":1}}`
	}
	return requester.Response{Status: status, Body: io.NopCloser(strings.NewReader(body))}, nil
}

func TestCallerReturnsElsewhereAndBrokenPromiseIsReported(t *testing.T) {
	cfg := config()
	seen := make(chan string, 10)
	j := job{id: "x", call: caller.Call{Model: "m"}}
	r := runJob(t.Context(), cfg, caller.New(refuser{seen}, time.Second), j)
	assert.Equal(t, r.returns, 1)
	assert.Equal(t, <-seen, "a")
	assert.Equal(t, <-seen, "b")
	tally := newTally()
	tally.add(r)
	report := tally.report()
	assert.Equal(t, report.ReturnedServed, 1)
	assert.Equal(t, report.BrokenCount, 1)
	report.AddRuns([]RunCount{{ID: "f1", Count: 1}, {ID: "f2", Count: 1}, {ID: "f2", Count: 1}})
	assert.Equal(t, report.BrokenCount, 2)
	var table strings.Builder
	assert.NilError(t, report.WriteTable(&table))
	assert.Assert(t, strings.Contains(table.String(), "filing f2 ran 2 times"), table.String())
}
