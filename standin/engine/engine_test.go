package engine_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/engine"
	"monsoonspar.example/standin/marker"
)

func startEngine(t *testing.T, cfg engine.Config) string {
	t.Helper()
	if cfg.StepTime == 0 {
		cfg.StepTime = time.Millisecond
	}
	cfg.Models = []engine.Model{{Model: "m", Version: "1"}}
	s := engine.New(cfg)
	addr, err := s.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return "http://" + addr
}

// response is an HTTP response; its body is closed at the end of the test.
type response struct {
	StatusCode int
	Body       io.Reader
}

func call(t *testing.T, method, url, body string) response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = res.Body.Close() })
	return response{StatusCode: res.StatusCode, Body: res.Body}
}

func postCompletion(t *testing.T, url, attempt, prompt string) response {
	t.Helper()
	return call(t, http.MethodPost, url+"/v1/completions",
		`{"model":"m","version":"1","stream":true,"max_tokens":5000,"attempt_id":"`+attempt+`","prompt":"`+prompt+`"}`)
}

// readTokens returns the tokens of a stream and whether it ended with [DONE].
func readTokens(t *testing.T, r io.Reader) ([]marker.Token, bool) {
	t.Helper()
	var tokens []marker.Token
	for scanner := bufio.NewScanner(r); scanner.Scan(); {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return tokens, true
		}
		var chunk struct {
			Choices []struct{ Text string }
		}
		assert.NilError(t, json.Unmarshal([]byte(data), &chunk))
		found, err := marker.ParseTokens(chunk.Choices[0].Text)
		assert.NilError(t, err)
		tokens = append(tokens, found...)
	}
	return tokens, false
}

func assertComplete(t *testing.T, tokens []marker.Token, id string, first, n int) {
	t.Helper()
	assert.Equal(t, len(tokens), n)
	for i, token := range tokens {
		assert.Equal(t, token, marker.Token{ID: id, Generation: tokens[0].Generation, Index: first + i})
	}
}

func TestStreamIsComplete(t *testing.T) {
	url := startEngine(t, engine.Config{})
	tokens, done := readTokens(t, postCompletion(t, url, "a", "[[id=x]] [[tokens=40]]").Body)
	assert.Assert(t, done)
	assertComplete(t, tokens, "x", 0, 40)
}

func TestStreamResumesAtOffset(t *testing.T) {
	url := startEngine(t, engine.Config{Faults: engine.Faults{CutAfter: 7}})
	tokens, done := readTokens(t, postCompletion(t, url, "a", "[[id=x]] [[tokens=20]]").Body)
	assert.Assert(t, !done)
	assertComplete(t, tokens, "x", 0, 7)
	tokens, done = readTokens(t, call(t, http.MethodGet, url+"/v1/streams/a?offset=7", "").Body)
	assert.Assert(t, done)
	assertComplete(t, tokens, "x", 7, 13)
}

func TestCancelEndsStream(t *testing.T) {
	url := startEngine(t, engine.Config{StepTime: 20 * time.Millisecond})
	res := postCompletion(t, url, "a", "[[tokens=4000]]")
	assert.Equal(t, call(t, http.MethodDelete, url+"/v1/streams/a", "").StatusCode, http.StatusNoContent)
	_, done := readTokens(t, res.Body)
	assert.Assert(t, !done)
	assert.Equal(t, call(t, http.MethodGet, url+"/v1/streams/a", "").StatusCode, http.StatusNotFound)
}

func TestFullMemoryPreemptsAndStillCompletes(t *testing.T) {
	url := startEngine(t, engine.Config{MemoryTokens: 128, BlockTokens: 8})
	first := postCompletion(t, url, "a", "[[id=x]] [[tokens=100]]")
	second := postCompletion(t, url, "b", "[[id=y]] [[tokens=100]]")
	tokens, _ := readTokens(t, first.Body)
	assertComplete(t, tokens, "x", 0, 100)
	tokens, _ = readTokens(t, second.Body)
	assertComplete(t, tokens, "y", 0, 100)
	var load struct{ Preemptions, Running int }
	assert.NilError(t, json.NewDecoder(call(t, http.MethodGet, url+"/load", "").Body).Decode(&load))
	assert.Assert(t, load.Preemptions > 0)
	assert.Equal(t, load.Running, 0)
}

func TestRefusalsRunNothing(t *testing.T) {
	url := startEngine(t, engine.Config{})
	body := `{"model":"other","version":"1","stream":true,"attempt_id":"a","prompt":"x"}`
	assert.Equal(t, call(t, http.MethodPost, url+"/v1/completions", body).StatusCode, 503)
	assert.Equal(t, call(t, http.MethodPost, url+"/faults", `{"leaving":true}`).StatusCode, 204)
	assert.Equal(t, postCompletion(t, url, "b", "x").StatusCode, 503)
	assert.Equal(t, call(t, http.MethodGet, url+"/v1/streams/b", "").StatusCode, 404)
}

func TestMutedStreamCanBeResumed(t *testing.T) {
	url := startEngine(t, engine.Config{Faults: engine.Faults{MuteAfter: 5}, KeepAliveInterval: 5 * time.Millisecond})
	res := postCompletion(t, url, "a", "[[id=x]] [[tokens=12]]")
	r := bufio.NewReader(res.Body)
	for range 5 * 3 {
		_, err := r.ReadString('\n')
		assert.NilError(t, err)
	}
	tokens, done := readTokens(t, call(t, http.MethodGet, url+"/v1/streams/a?offset=5", "").Body)
	assert.Assert(t, done)
	assertComplete(t, tokens, "x", 5, 7)
}

func TestChunkFaults(t *testing.T) {
	url := startEngine(t, engine.Config{
		StepTime: time.Millisecond,
		Faults:   engine.Faults{DuplicateEvery: 3, ForeignEvery: 4},
	})
	tokens, done := readTokens(t, postCompletion(t, url, "a", "[[id=x]] [[tokens=12]]").Body)
	assert.Assert(t, done)
	assert.Equal(t, len(tokens), 12+4+2)
}

func TestOrdersAndFences(t *testing.T) {
	for _, checks := range []bool{true, false} {
		url := startEngine(t, engine.Config{CheckFencingTokens: checks})
		order := func(body string) int { return call(t, http.MethodPost, url+"/orders", body).StatusCode }
		assert.Equal(t, order(`{"order_id":"1","kind":"load","model":"n","version":"1","fence":5}`), 200)
		want := 200
		if checks {
			want = 409
		}
		assert.Equal(t, order(`{"order_id":"2","kind":"unload","model":"n","version":"1","fence":4}`), want)
	}
}

func TestLoadLagsAndCacheEventsHaveGaps(t *testing.T) {
	url := startEngine(t, engine.Config{Faults: engine.Faults{EventGapEvery: 2}})
	_, done := readTokens(t, postCompletion(t, url, "a", strings.Repeat("p", 1024)+"[[tokens=3]]").Body)
	assert.Assert(t, done)
	var events struct {
		Events []struct{ Seq int }
		Next   int
	}
	assert.NilError(t, json.NewDecoder(call(t, http.MethodGet, url+"/cache_events?after=0", "").Body).Decode(&events))
	assert.Equal(t, len(events.Events), 2)
	assert.Equal(t, events.Next, 4)
	call(t, http.MethodPost, url+"/faults", `{"load_lag_ms":1}`)
	var load struct {
		AgeMS int64 `json:"age_ms"`
	}
	for load.AgeMS == 0 {
		assert.NilError(t, json.NewDecoder(call(t, http.MethodGet, url+"/load", "").Body).Decode(&load))
	}
}

func TestTextOfPromptCrashesEngineBeforeFirstToken(t *testing.T) {
	url := startEngine(t, engine.Config{Faults: engine.Faults{CrashOn: "poison", CrashDownMS: 300}})
	boot := bootID(t, url)
	sound := postCompletion(t, url, "a", "[[id=a]][[tokens=4000]]")
	bad := postCompletion(t, url, "b", "[[id=b]][[tokens=40]] some poison in between")
	tokens, done := readTokens(t, bad.Body)
	assert.Assert(t, len(tokens) == 0 && !done)
	_, done = readTokens(t, sound.Body)
	assert.Assert(t, !done)
	_, err := net.DialTimeout("tcp", strings.TrimPrefix(url, "http://"), time.Second)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), err)
	time.Sleep(600 * time.Millisecond)
	assert.Assert(t, bootID(t, url) != boot)
	tokens, done = readTokens(t, postCompletion(t, url, "c", "[[id=c]][[tokens=20]]").Body)
	assert.Assert(t, done)
	assertComplete(t, tokens, "c", 0, 20)
}

func bootID(t *testing.T, url string) string {
	t.Helper()
	var load struct {
		BootID string `json:"boot_id"`
	}
	assert.NilError(t, json.NewDecoder(call(t, http.MethodGet, url+"/load", "").Body).Decode(&load))
	return load.BootID
}
