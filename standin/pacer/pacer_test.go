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

func testConfig() Config {
	return Config{
		Addrs: []string{"a", "b"}, Keys: []string{"k"}, Models: []string{"m"},
		Rate: 200, Duration: time.Second, Seed: 7, MedianTokens: 20, Spread: 1, MaxTokens: 50,
		FilingShare: 0.5, FilingPath: "/services/log/corrections", MaxRetries: 1,
	}
}

func TestPlanDependsOnSeedAlone(t *testing.T) {
	first, second := planCalls(testConfig()), planCalls(testConfig())
	assert.Assert(t, len(first) > 100)
	assert.Equal(t, len(first), len(second))
	for i := range first {
		assert.Equal(t, first[i], second[i])
	}
	other := testConfig()
	other.Seed = 8
	assert.Assert(t, planCalls(other)[0] != first[0])
}

// refusingDoer refuses the first request, and answers the second one with a token
// of another request.
type refusingDoer struct{ addrs chan string }

func (r refusingDoer) Do(_ context.Context, req requester.Request) (requester.Response, error) {
	r.addrs <- req.Addr
	body := `{"error":{"code":"busy","outcome":"not_run","retry_after_ms":1}}`
	status := 503
	if len(r.addrs) == 2 {
		status = 200
		body = `{"choices":[{"text":"` + marker.Token{ID: "other", Generation: "g"}.String() + `","finish_reason":"stop"}],"usage":{"completion_tokens":1}}`
	}
	return requester.Response{Status: status, Body: io.NopCloser(strings.NewReader(body))}, nil
}

func TestCallerRetriesAtAnotherDaemonAndViolationIsReported(t *testing.T) {
	cfg := testConfig()
	addrs := make(chan string, 10)
	p := plannedCall{id: "x", call: caller.Call{Model: "m"}}
	r := runCall(t.Context(), cfg, caller.New(refusingDoer{addrs}, time.Second), p)
	assert.Equal(t, r.retries, 1)
	assert.Equal(t, <-addrs, "a")
	assert.Equal(t, <-addrs, "b")
	collector := newCollector()
	collector.add(r)
	report := collector.report()
	assert.Equal(t, report.RetriedComplete, 1)
	assert.Equal(t, report.ViolationCount, 1)
	report.AddRuns([]RunCount{{ID: "f1", Count: 1}, {ID: "f2", Count: 1}, {ID: "f2", Count: 1}})
	assert.Equal(t, report.ViolationCount, 2)
	var table strings.Builder
	assert.NilError(t, report.WriteTable(&table))
	assert.Assert(t, strings.Contains(table.String(), "filing f2 ran 2 times"), table.String())
}
