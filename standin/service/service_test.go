package service_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/service"
)

func startService(t *testing.T, cfg service.Config) string {
	t.Helper()
	s := service.New(cfg)
	addr, err := s.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return "http://" + addr
}

// post returns a status of zero if there is no response.
func post(t *testing.T, url, body string) (int, string) {
	t.Helper()
	res, err := http.Post(url, "text/plain", strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	if res.StatusCode == http.StatusServiceUnavailable {
		assert.Equal(t, res.Header.Get("Monsoonspar-Not-Run"), "true")
	}
	return res.StatusCode, string(text)
}

func TestRunsAreCounted(t *testing.T) {
	url := startService(t, service.Config{Faults: service.Faults{LoseResponses: 1}})
	status, _ := post(t, url+"/file", "[[id=c1]]")
	assert.Equal(t, status, 0)
	status, body := post(t, url+"/file", "[[id=c1]]")
	assert.Equal(t, status, 200)
	assert.Assert(t, strings.Contains(body, `"run":2`), body)
	_, runs := post(t, url+"/runs", "")
	assert.Equal(t, runs, `{"total":2,"runs":{"c1":2}}`)
}

func TestRefusedAndDroppedCallsDoNotRun(t *testing.T) {
	url := startService(t, service.Config{Faults: service.Faults{DropCalls: 1, RefuseCalls: 1}})
	status, _ := post(t, url+"/file", "[[id=c1]]")
	assert.Equal(t, status, 503)
	status, _ = post(t, url+"/file", "[[id=c1]]")
	assert.Equal(t, status, 0)
	_, runs := post(t, url+"/runs", "")
	assert.Equal(t, runs, `{"total":0,"runs":{}}`)
}
