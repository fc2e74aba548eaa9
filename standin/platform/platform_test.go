package platform_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/standin/platform"
)

const basePath = "/apis/monsoonspar.example/v1/namespaces/d/"

func startPlatform(t *testing.T, cfg platform.Config) (*platform.Server, string) {
	t.Helper()
	s := platform.New(cfg)
	addr, err := s.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, s.Close()) })
	return s, "http://" + addr
}

func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, string(text)
}

func TestConditionalWrites(t *testing.T) {
	_, url := startPlatform(t, platform.Config{})
	url += basePath + "claims"
	object := `{"metadata":{"name":"a"},"spec":{"n":1}}`
	for _, step := range []struct {
		method, path, body string
		want               int
		contains           string
	}{
		{"GET", "/a", "", 404, "NotFound"},
		{"POST", "", object, 201, `"resourceVersion":"1"`},
		{"POST", "", object, 409, "AlreadyExists"},
		{"PUT", "/a", `{"metadata":{"name":"a","resourceVersion":"7"},"spec":2}`, 409, "Conflict"},
		{"PUT", "/a", `{"metadata":{"name":"a","resourceVersion":"1"},"spec":2}`, 200, `"spec":2`},
		{"PUT", "/b", `{"metadata":{"name":"b","resourceVersion":"1"},"spec":2}`, 404, "NotFound"},
		{"GET", "?limit=5", "", 200, `"resourceVersion":"2"`},
		{"DELETE", "/a", `{"preconditions":{"resourceVersion":"1"}}`, 409, "Conflict"},
		{"DELETE", "/a", `{"preconditions":{"resourceVersion":"2"}}`, 200, ""},
		{"GET", "", "", 200, `"items":[]`},
		{"PUT", "/a", `{`, 400, "BadRequest"},
	} {
		status, body := call(t, step.method, url+step.path, step.body)
		assert.Equal(t, status, step.want, "%s %s: %s", step.method, step.path, body)
		assert.Assert(t, strings.Contains(body, step.contains), "%s %s: %s", step.method, step.path, body)
	}
}

func TestWatchReportsChangesAfterItsVersion(t *testing.T) {
	_, url := startPlatform(t, platform.Config{HistoryLength: 4})
	url += basePath + "manifests"
	create := func(name string) {
		status, _ := call(t, "POST", url, `{"metadata":{"name":"`+name+`","labels":{"k":"v"}},"spec":1}`)
		assert.Equal(t, status, 201)
	}
	create("a")
	res, err := http.Get(url + "?watch=1&resourceVersion=1&labelSelector=k=v")
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	create("b")
	var event struct {
		Type   string
		Object struct{ Metadata struct{ Name string } }
	}
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&event))
	assert.Equal(t, event.Type, "ADDED")
	assert.Equal(t, event.Object.Metadata.Name, "b")
	for _, name := range []string{"c", "d", "e", "f"} {
		create(name)
	}
	status, _ := call(t, "GET", url+"?watch=1&resourceVersion=1", "")
	assert.Equal(t, status, 410)
}

func TestFaults(t *testing.T) {
	_, url := startPlatform(t, platform.Config{})
	faults := func(body string) {
		status, _ := call(t, "POST", url+"/faults", body)
		assert.Equal(t, status, 204)
	}
	claims := url + basePath + "claims"
	object := func(name string) string { return `{"metadata":{"name":"` + name + `"},"spec":1}` }

	faults(`{"lose_answers":1}`)
	status, _ := call(t, "POST", claims, object("a"))
	assert.Equal(t, status, 0)
	status, _ = call(t, "GET", claims+"/a", "")
	assert.Equal(t, status, 200)

	faults(`{"drop_calls":1}`)
	status, _ = call(t, "POST", claims, object("b"))
	assert.Equal(t, status, 0)
	status, _ = call(t, "GET", claims+"/b", "")
	assert.Equal(t, status, 404)

	faults(`{"stale_versions":1}`)
	status, _ = call(t, "GET", claims+"/a", "")
	assert.Equal(t, status, 404)

	faults(`{"stale_versions":0,"outage":true}`)
	status, _ = call(t, "GET", claims+"/a", "")
	assert.Equal(t, status, 503)

	faults(`{"outage":false,"limit_calls":1}`)
	status, _ = call(t, "GET", claims+"/a", "")
	assert.Equal(t, status, 429)
	status, _ = call(t, "GET", claims+"/a", "")
	assert.Equal(t, status, 200)
}

func TestVMsAreReadOnly(t *testing.T) {
	s, url := startPlatform(t, platform.Config{})
	assert.NilError(t, s.SetVM(platform.VM{Name: "e1", Addr: "127.0.0.1:1", State: "live"}))
	status, body := call(t, "GET", url+basePath+"vms/e1", "")
	for status == 404 {
		status, body = call(t, "GET", url+basePath+"vms/e1", "")
	}
	assert.Assert(t, strings.Contains(body, `"state":"live"`))
	status, _ = call(t, "POST", url+basePath+"vms", `{"metadata":{"name":"x"}}`)
	assert.Equal(t, status, 403)
}
