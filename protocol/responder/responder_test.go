package responder

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"monsoonspar.example/coordination/attempter"
	"monsoonspar.example/coordination/sequencer"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/timekeeper"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// fakeBackend returns fixed results and records its arguments.
type fakeBackend struct {
	chunks     []Chunk
	err        error // Returned after the chunks, in place of io.EOF.
	call       Call
	generation Generation
}

var manifest = cataloger.Manifest{
	Deployment: "registro",
	Defaults:   cataloger.Defaults{Timeout: time.Minute, MaxTimeout: time.Hour},
	Models:     []cataloger.Model{{Name: "redazione", Versions: []string{"v1"}, Adapters: []string{"rettifica"}, MaxTokens: 100}},
	Services:   []cataloger.Service{{Name: "app", NonIdempotent: []string{"/corrections"}}},
}

func (*fakeBackend) Customer(hash string) (cataloger.Customer, bool) {
	return cataloger.Customer{Name: "gazzetta"}, strings.HasPrefix(hash, "2c70e12b") // SHA-256 of "key".
}
func (*fakeBackend) Manifest() *cataloger.Manifest { return &manifest }
func (*fakeBackend) Ready() bool                   { return true }

func (b *fakeBackend) Generate(_ context.Context, g Generation) (Stream, error) {
	b.generation = g
	return &fakeStream{b: b}, nil
}

func (b *fakeBackend) Resume(context.Context, cataloger.Customer, string) (Stream, error) {
	return &fakeStream{b: b}, nil
}

func (b *fakeBackend) Call(_ context.Context, c Call) (Response, error) {
	b.call = c
	return Response{Status: 201, ContentType: "text/plain", Body: []byte("filed")}, b.err
}

// fakeStream returns the chunks of its backend.
type fakeStream struct {
	b *fakeBackend
	n int
}

func (s *fakeStream) Next() (Chunk, error) {
	if s.n == len(s.b.chunks) {
		if s.b.err != nil {
			return Chunk{}, s.b.err
		}
		return Chunk{}, io.EOF
	}
	s.n++
	return s.b.chunks[s.n-1], nil
}

func (s *fakeStream) First() (sequencer.AttemptID, int) {
	if len(s.b.chunks) == 0 {
		return "", 0
	}
	t := s.b.chunks[0].Token
	return t.Attempt, t.Index
}

func (*fakeStream) Close() {}

// wordChunks returns the chunks of a completion whose first token has index from.
func wordChunks(from int, ws ...string) []Chunk {
	var chunks []Chunk
	for i, w := range ws {
		chunks = append(chunks, Chunk{Token: sequencer.Token{Attempt: "a", Index: from + i, Text: w}, EventIDSuffix: ".body.mac"})
	}
	last := &chunks[len(chunks)-1]
	last.Token.Finish = "stop"
	last.Usage = &Usage{PromptTokens: 3, CompletionTokens: from + len(ws), TotalTokens: 3 + from + len(ws)}
	return chunks
}

// sendRequest sends a request and returns the status, some header fields and the
// body of the response.
func sendRequest(t *testing.T, b Backend, method, path, body string, header map[string]string) string {
	t.Helper()
	r := New(Config{MaxBodyBytes: 1 << 20, RequestID: func() string { return "id-1" }}, b,
		timekeeper.NewManual(time.Unix(1000, 0)), zerolog.Nop())
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer key")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := r.app.Test(req, -1)
	assert.NilError(t, err)
	defer res.Body.Close()
	var out bytes.Buffer
	fmt.Fprintln(&out, res.StatusCode)
	for _, name := range []string{"Content-Type", HeaderOutcome, "Retry-After", HeaderReplayed} {
		if v := res.Header.Get(name); v != "" {
			fmt.Fprintf(&out, "%s: %s\n", name, v)
		}
	}
	fmt.Fprintln(&out)
	_, err = out.ReadFrom(res.Body)
	assert.NilError(t, err)
	return out.String()
}

const chatBody = `{"model":"redazione","messages":[{"role":"system","content":"You edit."},{"role":"user","content":"Draft."}],"stream":%t}`

func TestResponses(t *testing.T) {
	refused := &RequestError{Status: 503, Code: "deadline", Message: "the request can't be served in time", RetryAfter: 1500 * time.Millisecond}
	lost := &RequestError{Status: 503, Code: "not_served", Message: "the engine was lost", Outcome: attempter.Unknown}
	delayed := append([]Chunk{{KeepAlive: true}, {KeepAlive: true}}, wordChunks(0, "late")...)
	tests := []struct {
		name         string
		backend      *fakeBackend
		method, path string
		body         string
		header       map[string]string
	}{
		{"chat-stream", &fakeBackend{chunks: wordChunks(0, "Whereas", " we")}, "POST", "/v1/chat/completions", fmt.Sprintf(chatBody, true), nil},
		{"chat-whole", &fakeBackend{chunks: wordChunks(0, "Whereas", " we")}, "POST", "/v1/chat/completions", fmt.Sprintf(chatBody, false), nil},
		{"completion-stream", &fakeBackend{chunks: wordChunks(0, "yes")}, "POST", "/v1/completions", `{"model":"redazione","prompt":"p","stream":true}`, nil},
		{"completion-whole", &fakeBackend{chunks: wordChunks(0, "yes")}, "POST", "/v1/completions", `{"model":"redazione","prompt":"p"}`, nil},
		{"keep-alive-first", &fakeBackend{chunks: delayed}, "POST", "/v1/completions", `{"model":"redazione","prompt":"p","stream":true}`, nil},
		{"resumed", &fakeBackend{chunks: wordChunks(7, " end")}, "GET", "/v1/completions", "", map[string]string{HeaderLastEventID: "6.body.mac"}},
		{"refused", &fakeBackend{err: refused}, "POST", "/v1/completions", `{"model":"redazione","prompt":"p","stream":true}`, nil},
		{"lost-after-a-token", &fakeBackend{chunks: wordChunks(0, "a", "b")[:1], err: lost}, "POST", "/v1/completions", `{"model":"redazione","prompt":"p","stream":true}`, nil},
		{"models", &fakeBackend{}, "GET", "/v1/models", "", nil},
		{"service", &fakeBackend{}, "POST", "/services/app/corrections/7?x=1", "{}", nil},
		{"fault", &fakeBackend{err: errors.New("secret detail")}, "POST", "/services/app/x", "{}", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			golden.Assert(t, sendRequest(t, tt.backend, tt.method, tt.path, tt.body, tt.header), tt.name+".golden")
		})
	}
}

func TestRequestFieldsReachBackend(t *testing.T) {
	b := &fakeBackend{chunks: wordChunks(0, "x")}
	sendRequest(t, b, "POST", "/v1/chat/completions", fmt.Sprintf(chatBody, false), map[string]string{
		HeaderTimeout: "1500", HeaderIdempotencyKey: `"k"`, HeaderJobKind: "draft", HeaderNonIdempotent: "true",
	})
	assert.Equal(t, b.generation.Timeout, 1500*time.Millisecond)
	assert.Equal(t, b.generation.IdempotencyKey, "k")
	assert.Equal(t, b.generation.JobKind, "draft")
	assert.Assert(t, b.generation.NonIdempotent)
	assert.Equal(t, b.generation.Prompt[:b.generation.SharedPrefixBytes], "system: You edit.\n")
}

// Guards against calls that run with other bodies than were sent: forms were parsed and written anew, and encoded
// bodies decoded.
func TestBodiesOfCallsReachBackendAsSent(t *testing.T) {
	form := "--b\r\nContent-Type: text/plain\r\nContent-Disposition: form-data; name=\"x\"\r\n\r\n1\r\n--b--\r\nmore"
	zipped := "\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff\x4b\x04\x00\x43\xbe\xb7\xe8\x01\x00\x00\x00"
	for _, c := range []struct{ contentType, encoding, body string }{
		{"multipart/form-data; boundary=b", "", form},
		{"multipart/form-data; boundary=b", "", "no form"},
		{"text/plain", "gzip", zipped},
		{"text/plain", "gzip", "not zipped"},
	} {
		b := &fakeBackend{}
		sendRequest(t, b, "POST", "/services/app/x", c.body, map[string]string{"Content-Type": c.contentType, "Content-Encoding": c.encoding})
		assert.Equal(t, string(b.call.Body), c.body)
		assert.Equal(t, b.call.ContentType, c.contentType)
		assert.Equal(t, b.call.ContentEncoding, c.encoding)
	}
}

func TestDeclaredPathsAreNonIdempotent(t *testing.T) {
	tests := []struct {
		method, path string
		want         bool
	}{
		{http.MethodPost, "/services/app/corrections", true},
		{http.MethodPost, "/services/app/corrections/7", true},
		{http.MethodPost, "/services/app/%63orrections", true},
		{http.MethodPost, "/services/app//corrections", true},
		{http.MethodPost, "/services/app/x/../corrections", true},
		{http.MethodPost, "/services/app/correctionsx", false},
		{http.MethodGet, "/services/app/corrections", false},
	}
	for _, tt := range tests {
		b := &fakeBackend{}
		sendRequest(t, b, tt.method, tt.path, "", nil)
		assert.Equal(t, b.call.NonIdempotent, tt.want, tt.method+" "+tt.path)
	}
}

// Guards against a request that is marked to run at most once and is repeated, since its mark was
// not recognized.
func TestMarkOfRequestIsRecognizedOrRefused(t *testing.T) {
	for _, c := range []struct {
		mark                 string
		nonIdempotent, valid bool
	}{
		{"true", true, true},
		{"True", true, true},
		{"TRUE", true, true},
		{"1", true, true},
		{"false", false, true},
		{"0", false, true},
		{"", false, true},
		{"yes", false, false},
		{"true, true", false, false},
	} {
		for path, body := range map[string]string{"/services/app/x": "", "/v1/chat/completions": fmt.Sprintf(chatBody, false)} {
			b := &fakeBackend{chunks: wordChunks(0, "x")}
			got := sendRequest(t, b, http.MethodPost, path, body, map[string]string{HeaderNonIdempotent: c.mark})
			assert.Check(t, strings.HasPrefix(got, "400\n") != c.valid, "%q: %s", c.mark, got)
			assert.Check(t, (b.call.NonIdempotent || b.generation.NonIdempotent) == c.nonIdempotent, "%q %s", c.mark, path)
		}
	}
}

func TestPathCannotEscapeService(t *testing.T) {
	b := &fakeBackend{}
	got := sendRequest(t, b, http.MethodPost, "/services/app/%2e%2e/other/x", "", nil)
	assert.Assert(t, strings.HasPrefix(got, "400\n"), got)
	assert.Equal(t, b.call.Service, "")
}

func FuzzDecodeCompletion(f *testing.F) {
	f.Add([]byte(fmt.Sprintf(chatBody, true)), true)
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":1}`), false)
	f.Add([]byte("{\"prompt\":\"\xff\"}"), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		req, err := decodeCompletion(body, chat)
		if err == nil && (req.Prompt == "" || req.sharedBytes < 0 || req.sharedBytes > len(req.Prompt)) {
			t.Fatalf("prompt %q, shared %d", req.Prompt, req.sharedBytes)
		}
	})
}
