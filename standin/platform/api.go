package platform

import (
	"bufio"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"monsoonspar.example/standin/listener"
)

const (
	apiPrefix    = "/apis/monsoonspar.example/v1/namespaces/"
	maxSpecBytes = 1 << 20
)

type status struct {
	Kind    string `json:"kind"`
	Code    int    `json:"code"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

type objectList struct {
	Metadata listMetadata `json:"metadata"`
	Items    []object     `json:"items"`
}

type listMetadata struct {
	ResourceVersion string `json:"resourceVersion"`
	Continue        string `json:"continue,omitempty"`
}

type deleteOptions struct {
	Preconditions struct {
		ResourceVersion string `json:"resourceVersion"`
	} `json:"preconditions"`
}

// resourcePath identifies a collection of objects, or one object of it.
type resourcePath struct {
	resource string // NAMESPACE/RESOURCE, so that deployments are isolated; "vms" is shared by all.
	name     string // Empty for the collection.
}

func parsePath(path string) (resourcePath, bool) {
	rest, ok := strings.CutPrefix(path, apiPrefix)
	if !ok {
		return resourcePath{}, false
	}
	parts := strings.Split(rest, "/")
	if len(parts) < 2 || len(parts) > 3 || parts[0] == "" || parts[1] == "" {
		return resourcePath{}, false
	}
	parsed := resourcePath{resource: parts[0] + "/" + parts[1]}
	if parts[1] == "vms" {
		parsed.resource = "vms"
	}
	if len(parts) == 3 {
		parsed.name = parts[2]
	}
	return parsed, true
}

func writeStatus(ctx *fasthttp.RequestCtx, code int, reason, message string) {
	listener.WriteJSON(ctx, code, status{Kind: "Status", Code: code, Reason: reason, Message: message})
	if code == fasthttp.StatusTooManyRequests || code == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set("Retry-After", retryAfterSeconds)
	}
}

func writeError(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, errNotFound):
		writeStatus(ctx, fasthttp.StatusNotFound, "NotFound", err.Error())
	case errors.Is(err, errExists):
		writeStatus(ctx, fasthttp.StatusConflict, "AlreadyExists", err.Error())
	case errors.Is(err, errConflict):
		writeStatus(ctx, fasthttp.StatusConflict, "Conflict", err.Error())
	case errors.Is(err, errGone):
		writeStatus(ctx, fasthttp.StatusGone, "Gone", err.Error())
	default:
		writeStatus(ctx, fasthttp.StatusBadRequest, "BadRequest", err.Error())
	}
}

// serveAPI handles a request to the object API. It applies the faults and rate
// limits before the request takes effect, and delays or drops the response of a
// write afterwards.
func (s *Server) serveAPI(ctx *fasthttp.RequestCtx) {
	path, ok := parsePath(string(ctx.Path()))
	if !ok {
		writeStatus(ctx, fasthttp.StatusNotFound, "NotFound", "no such path")
		return
	}
	write := !ctx.IsGet()
	s.countCall(ctx)
	faults := s.currentFaults()
	s.sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	switch {
	case faults.Hang:
		<-s.ctx.Done()
		return
	case faults.Outage:
		writeStatus(ctx, fasthttp.StatusServiceUnavailable, "ServiceUnavailable", "outage")
		return
	case s.rateLimited(write):
		writeStatus(ctx, fasthttp.StatusTooManyRequests, "TooManyRequests", "too many calls")
		return
	}
	if !write {
		s.serveRead(ctx, path, faults)
		return
	}
	if s.consume(func(f *Faults) *int { return &f.DropCalls }) {
		listener.DropResponse(ctx)
		return
	}
	s.serveWrite(ctx, path)
	s.sleep(time.Duration(faults.SlowMS) * time.Millisecond)
	if s.consume(func(f *Faults) *int { return &f.LoseResponses }) {
		listener.DropResponse(ctx)
	}
}

func (s *Server) countCall(ctx *fasthttp.RequestCtx) {
	name := strings.TrimPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[string(ctx.Method())]++
	if name != "" {
		s.calls["by "+name]++
	}
}

func (s *Server) rateLimited(write bool) bool {
	if s.consume(func(f *Faults) *int { return &f.LimitCalls }) {
		return true
	}
	if write {
		return !s.writes.Allow()
	}
	return !s.reads.Allow()
}

// consume decrements the counter of a fault and reports whether it was positive.
func (s *Server) consume(counter func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := counter(&s.faults)
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

func (s *Server) serveRead(ctx *fasthttp.RequestCtx, path resourcePath, faults Faults) {
	selector := parseSelector(string(ctx.QueryArgs().Peek("labelSelector")))
	if ctx.QueryArgs().GetBool("watch") {
		s.serveWatch(ctx, path, selector)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if path.name != "" {
		o, ok := s.store.asOf(path.resource, faults.StaleVersions)[path.name]
		if !ok {
			writeError(ctx, errNotFound)
			return
		}
		listener.WriteJSON(ctx, fasthttp.StatusOK, o)
		return
	}
	version := s.store.version - min(faults.StaleVersions, s.store.version)
	list := objectList{
		Metadata: listMetadata{ResourceVersion: strconv.FormatUint(version, 10)},
		Items:    s.store.list(path.resource, faults.StaleVersions, selector),
	}
	paginate(&list, ctx.QueryArgs().GetUintOrZero("limit"), string(ctx.QueryArgs().Peek("continue")))
	listener.WriteJSON(ctx, fasthttp.StatusOK, list)
}

// paginate removes the objects up to the name in continueAfter from list, and
// those beyond limit, if it is positive.
func paginate(list *objectList, limit int, continueAfter string) {
	for continueAfter != "" && len(list.Items) > 0 && list.Items[0].Metadata.Name <= continueAfter {
		list.Items = list.Items[1:]
	}
	if limit > 0 && len(list.Items) > limit {
		list.Items = list.Items[:limit]
		list.Metadata.Continue = list.Items[limit-1].Metadata.Name
	}
}

func parseSelector(text string) map[string]string {
	if text == "" {
		return nil
	}
	selector := make(map[string]string)
	for term := range strings.SplitSeq(text, ",") {
		k, v, _ := strings.Cut(term, "=")
		selector[k] = strings.TrimPrefix(v, "=")
	}
	return selector
}

func (s *Server) serveWrite(ctx *fasthttp.RequestCtx, path resourcePath) {
	if path.resource == "vms" {
		writeStatus(ctx, fasthttp.StatusForbidden, "Forbidden", "vms are read only")
		return
	}
	if ctx.IsDelete() {
		s.serveDelete(ctx, path)
		return
	}
	var o object
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		writeError(ctx, errors.Wrap(err, "object"))
		return
	}
	if len(o.Spec) > maxSpecBytes {
		writeStatus(ctx, fasthttp.StatusRequestEntityTooLarge, "RequestEntityTooLarge", "spec is over 1 MiB")
		return
	}
	if path.name != "" && o.Metadata.Name != path.name || o.Metadata.Name == "" {
		writeError(ctx, errors.New("the object's name and the path differ"))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	code := fasthttp.StatusOK
	if ctx.IsPost() {
		code = fasthttp.StatusCreated
		o, err = s.store.create(path.resource, o, time.Now())
	} else {
		o, err = s.store.replace(path.resource, o, time.Now())
	}
	if err != nil {
		writeError(ctx, err)
		return
	}
	listener.WriteJSON(ctx, code, o)
}

func (s *Server) serveDelete(ctx *fasthttp.RequestCtx, path resourcePath) {
	var options deleteOptions
	if body := ctx.PostBody(); len(body) > 0 {
		if err := json.Unmarshal(body, &options); err != nil {
			writeError(ctx, errors.Wrap(err, "options"))
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.store.deleteObject(path.resource, path.name, options.Preconditions.ResourceVersion); err != nil {
		writeError(ctx, err)
		return
	}
	writeStatus(ctx, fasthttp.StatusOK, "", "deleted")
}

func (s *Server) serveWatch(ctx *fasthttp.RequestCtx, path resourcePath, selector map[string]string) {
	from, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("resourceVersion")), 10, 64)
	if err != nil {
		writeError(ctx, errors.Wrap(err, "resourceVersion"))
		return
	}
	s.mu.Lock()
	_, err = s.store.eventsAfter(path.resource, from, selector)
	s.mu.Unlock()
	if err != nil {
		writeError(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { s.writeEvents(w, path, selector, from) })
}

// writeEvents sends events until the client disconnects, an outage begins, unsent
// events are trimmed from the log or the server is closed.
func (s *Server) writeEvents(w *bufio.Writer, path resourcePath, selector map[string]string, from uint64) {
	encoder := json.NewEncoder(w)
	lastBookmark := time.Now()
	for s.sleep(watchPollInterval) {
		faults := s.currentFaults()
		if faults.Outage {
			return
		}
		if faults.WatchSilent || faults.Hang {
			continue
		}
		s.mu.Lock()
		events, err := s.store.eventsAfter(path.resource, from, selector)
		version := s.store.version
		s.mu.Unlock()
		if err != nil {
			return
		}
		if len(events) == 0 && time.Since(lastBookmark) >= bookmarkInterval {
			lastBookmark = time.Now()
			o := object{Metadata: metadata{ResourceVersion: strconv.FormatUint(version, 10)}}
			events = []watchEvent{{Type: "BOOKMARK", Object: o}}
		}
		for _, e := range events {
			if encoder.Encode(e) != nil {
				return
			}
		}
		from = version
		if w.Flush() != nil {
			return
		}
	}
}
