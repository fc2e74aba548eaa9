// Package storer is the client of the platform's object API: versioned objects
// with conditional writes and watches, as docs/PROTOCOLS.md describes them.
//
// Every call is bounded by a timeout and a share of one retry budget. A write
// is repeated only if it is proven to have had no effect, or if its spec names
// its writer, so that a lost answer can be resolved by reading back.
package storer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"monsoonspar.example/coordination/retrier"
	"monsoonspar.example/protocol/requester"
	"monsoonspar.example/state/defaulter"
	"monsoonspar.example/state/timekeeper"
)

// The ways in which a call fails.
var (
	ErrNotFound    = errors.New("no such object")
	ErrExists      = errors.New("an object of this name exists")
	ErrConflict    = errors.New("the object has another version")
	ErrGone        = errors.New("the version is too old to watch from")
	ErrRejected    = errors.New("the platform refuses the object")
	ErrUnavailable = errors.New("the platform is unavailable; the call had no effect")
	ErrUnknown     = errors.New("the answer was lost; the write may have taken effect")
	ErrLimited     = errors.New("too many calls; the call had no effect")
)

// Object is one object of the platform.
type Object struct {
	Resource string
	Name     string
	Version  uint64 // Grows by every write to the platform.
	Labels   map[string]string
	Spec     json.RawMessage // At most 1 MiB.
	Created  time.Time       // On the platform's clock, see Client.Age.
}

// List is a set of objects as of one version.
type List struct {
	Items   []Object // By name.
	Version uint64   // To watch from.
}

// Config sets up a Client. Zero fields take the defaults.
type Config struct {
	Addr           string // IP address and port of the platform.
	Deployment     string
	Token          string        // Bearer token; none if empty.
	Timeout        time.Duration // Of one attempt; 2 s by default.
	CallTimeout    time.Duration // Of all attempts of a call; twice Timeout by default.
	MaxWait        time.Duration // Longest wait between attempts; 250 ms by default.
	WatchSilence   time.Duration // Longest silence of a watch; 4 s by default.
	CallsPerSecond float64       // Rate limit of this client; 50 by default.
	PageSize       int           // Objects in one answer to a list; 500 by default.
	Retry          retrier.Config
}

func (c *Config) setDefaults() {
	defaulter.Set(&c.Timeout, 2*time.Second)
	defaulter.Set(&c.CallTimeout, 2*c.Timeout)
	defaulter.Set(&c.MaxWait, 250*time.Millisecond)
	defaulter.Set(&c.WatchSilence, 4*time.Second)
	defaulter.Set(&c.CallsPerSecond, 50)
	defaulter.Set(&c.PageSize, 500)
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	cfg     Config
	doer    requester.Doer
	clock   timekeeper.Sleeper
	limiter *rate.Limiter
	retrier *retrier.Retrier

	mu    sync.Mutex
	rnd   *rand.Rand
	ahead time.Duration // By which the platform's clock is ahead of ours.
}

// New returns a client that sends its requests through doer. The client owns
// rnd from then on.
func New(cfg Config, doer requester.Doer, clock timekeeper.Sleeper, rnd *rand.Rand) *Client {
	cfg.setDefaults()
	return &Client{
		cfg:     cfg,
		doer:    doer,
		clock:   clock,
		limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), max(1, int(cfg.CallsPerSecond))),
		retrier: retrier.New(cfg.Retry),
		rnd:     rnd,
	}
}

// Get returns one object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, resource, name string) (Object, error) {
	body, err := c.read(ctx, c.path(resource, name))
	if err != nil {
		return Object{}, err
	}
	return decodeObject(resource, body, ErrUnavailable)
}

// List returns the objects whose labels match selector; an empty selector
// matches all.
func (c *Client) List(ctx context.Context, resource string, selector map[string]string) (List, error) {
	query := url.Values{"limit": {strconv.Itoa(c.cfg.PageSize)}}
	if len(selector) > 0 {
		query.Set("labelSelector", formatSelector(selector))
	}
	var list List
	for {
		body, err := c.read(ctx, c.path(resource, "")+"?"+query.Encode())
		if err != nil {
			return List{}, err
		}
		page, token, err := decodeList(resource, body)
		if err != nil {
			return List{}, err
		}
		if list.Version == 0 {
			list.Version = page.Version
		}
		list.Items = append(list.Items, page.Items...)
		if token == "" {
			return list, nil
		}
		query.Set("continue", token)
	}
}

// ListPage returns at most limit objects from where an earlier page ended, and
// the token of the next page, empty on the last.
func (c *Client) ListPage(ctx context.Context, resource string, limit int, token string) (List, string, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if token != "" {
		query.Set("continue", token)
	}
	body, err := c.read(ctx, c.path(resource, "")+"?"+query.Encode())
	if err != nil {
		return List{}, "", err
	}
	return decodeList(resource, body)
}

// Age returns the time since an object was created, by the platform's clock as
// its answers tell it, to the second. It is zero if that is not known.
func (c *Client) Age(o Object) time.Duration {
	if o.Created.IsZero() {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.clock.Now().Add(c.ahead).Sub(o.Created), 0)
}

// noteDate learns the platform's clock from the date of an answer.
func (c *Client) noteDate(date string) {
	t, err := time.Parse(time.RFC1123, date)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead = t.Sub(c.clock.Now())
}

// Create stores a new object and returns it with its version, or ErrExists. If
// the answer is lost and the spec names its writer, see WriterID, the object
// is read back; otherwise the error is ErrUnknown.
func (c *Client) Create(ctx context.Context, o Object) (Object, error) {
	return c.write(ctx, write{method: "POST", path: c.path(o.Resource, ""), object: o})
}

// Update replaces the object whose version is o.Version and returns it with its
// new version, or ErrConflict. Lost answers are resolved as by Create.
func (c *Client) Update(ctx context.Context, o Object) (Object, error) {
	return c.write(ctx, write{method: "PUT", path: c.path(o.Resource, o.Name), object: o})
}

// Delete removes the object if it still has the version given; zero matches
// any. An object that is gone after a lost answer counts as removed.
func (c *Client) Delete(ctx context.Context, resource, name string, version uint64) error {
	body, err := encodeDelete(version)
	if err != nil {
		return err
	}
	req := c.request("DELETE", c.path(resource, name), body)
	lost := false
	_, err = c.attempt(ctx, req, func(err error) bool {
		lost = lost || errors.Is(err, ErrUnknown)
		return true
	})
	switch {
	case !lost || err == nil:
		return err
	case errors.Is(err, ErrNotFound):
		return nil
	}
	return CallError{Kind: ErrUnknown, Detail: err.Error(), RetryAfter: RetryAfter(err)}
}

// RetryAfter returns the wait that the platform or the client's own limit asks
// for, zero if none.
func RetryAfter(err error) time.Duration {
	var failure CallError
	if errors.As(err, &failure) {
		return failure.RetryAfter
	}
	return 0
}

// CallError is a failed call.
type CallError struct {
	Kind       error // One of the sentinels above.
	RetryAfter time.Duration
	Detail     string
}

// Error returns the kind and the detail.
func (e CallError) Error() string {
	if e.Detail == "" {
		return e.Kind.Error()
	}
	return e.Kind.Error() + ": " + e.Detail
}

// Unwrap returns the kind.
func (e CallError) Unwrap() error { return e.Kind }

func formatSelector(selector map[string]string) string {
	terms := make([]string, 0, len(selector))
	for k, v := range selector {
		terms = append(terms, k+"="+v)
	}
	return strings.Join(terms, ",")
}

func (c *Client) path(resource, name string) string {
	path := "/apis/monsoonspar.example/v1/namespaces/" + url.PathEscape(c.cfg.Deployment) + "/" + resource
	if name == "" {
		return path
	}
	return path + "/" + url.PathEscape(name)
}

func (c *Client) request(method, path string, body []byte) requester.Request {
	req := requester.Request{
		Method:        method,
		Addr:          c.cfg.Addr,
		Path:          path,
		Body:          body,
		NonIdempotent: method != "GET",
		Silence:       c.cfg.Timeout,
	}
	if c.cfg.Token != "" {
		req.Header = append(req.Header, requester.Header{Name: "Authorization", Value: "Bearer " + c.cfg.Token})
	}
	if len(body) > 0 {
		req.Header = append(req.Header, requester.Header{Name: "Content-Type", Value: "application/json"})
	}
	return req
}
