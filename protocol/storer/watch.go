package storer

import (
	"bufio"
	"context"
	"encoding/json"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/verifier"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/dissector"
)

// maxEventBytes limits the size of one event. It is larger than an object, whose
// spec has at most 1 MiB.
const maxEventBytes = 2 << 20

// EventType is the kind of change of an object.
type EventType string

// Types of events. The object of a Bookmark has only a version: all events up to
// it have been sent.
const (
	Added    EventType = "ADDED"
	Modified EventType = "MODIFIED"
	Deleted  EventType = "DELETED"
	Bookmark EventType = "BOOKMARK"
)

// Event is one change of an object.
type Event struct {
	Type   EventType
	Object Object
}

type wireEvent struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// Watch calls fn for every change of resource after the version from, in order,
// until ctx ends, fn fails or the connection breaks. It always returns an error:
// that of fn or ctx, ErrGone if the objects have to be listed again, otherwise
// one after which the caller may watch again from the last version seen. A watch
// that receives nothing for WatchReadTimeout is treated as broken.
func (c *Client) Watch(ctx context.Context, resource string, from uint64, fn func(Event) error) error {
	if err := c.waitForRateLimit(ctx); err != nil {
		return err
	}
	query := url.Values{"watch": {"1"}, "resourceVersion": {strconv.FormatUint(from, 10)}}
	req := c.request("GET", c.path(resource, "")+"?"+query.Encode(), nil)
	req.ReadTimeout = c.cfg.WatchReadTimeout
	res, err := c.doer.Do(ctx, req)
	if err != nil {
		return watchError(ctx, err)
	}
	defer func() { _ = res.Body.Close() }()
	if err := statusError(res); err != nil {
		if errors.Is(err, ErrOutcomeUnknown) {
			return CallError{Kind: ErrUnavailable, Detail: err.Error()}
		}
		return err
	}
	return readEvents(ctx, res, resource, fn)
}

// readEvents calls fn for each event in the body of a watch.
func readEvents(ctx context.Context, res requester.Response, resource string, fn func(Event) error) error {
	scanner := bufio.NewScanner(res.Body)
	scanner.Buffer(nil, maxEventBytes)
	blank := verifier.Body{Limit: maxEventBytes} // Blank lines since the last event.
	for scanner.Scan() {
		if len(scanner.Bytes()) == 0 {
			if err := blank.Add(1); err != nil {
				return CallError{Kind: ErrUnavailable, Detail: err.Error()}
			}
			continue
		}
		blank.Size = 0
		event, err := decodeEvent(resource, scanner.Bytes())
		if err != nil {
			return err
		}
		if err := fn(event); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return watchError(ctx, err)
	}
	return CallError{Kind: ErrUnavailable, Detail: "watch ended"}
}

// watchError returns the error of ctx if it has ended, else an ErrUnavailable.
func watchError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return CallError{Kind: ErrUnavailable, Detail: err.Error()}
}

// decodeEvent decodes one line of a watch.
func decodeEvent(resource string, line []byte) (Event, error) {
	var w wireEvent
	if err := json.Unmarshal(line, &w); err != nil {
		dissector.Decode(line, "type", &w.Type)
		w.Object = dissector.Field(line, "object")
		if w.Type == "" || w.Object == nil {
			return Event{}, CallError{Kind: ErrUnavailable, Detail: "malformed event: " + err.Error()}
		}
	}
	switch kind := EventType(w.Type); kind {
	case Added, Modified, Deleted, Bookmark:
		o, err := decodeWireObject(w.Object).object(resource, ErrUnavailable)
		return Event{Type: kind, Object: o}, err
	}
	status := decodeStatus(w.Object)
	if status.Code == 410 {
		return Event{}, CallError{Kind: ErrGone, Detail: status.Message}
	}
	return Event{}, CallError{Kind: ErrUnavailable, Detail: "event of unknown type " + strconv.Quote(w.Type)}
}
