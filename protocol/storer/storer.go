// Package storer is the client of the platform's object API: versioned objects
// with conditional writes and watches, as docs/PROTOCOLS.md describes them.
//
// Every call has a timeout, and all calls of a client share one retry budget.
// Reads and deletes may be repeated after any transient error. A create or update
// is retried only if it is known to have had no effect, or if its spec names its
// writer, so that the outcome of a write whose response was lost can be determined
// by reading the object back.
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

// Kinds of errors of a call.
var (
	ErrNotFound       = errors.New("no such object")
	ErrExists         = errors.New("an object of this name exists")
	ErrConflict       = errors.New("the object has another version")
	ErrGone           = errors.New("the version is too old to watch from")
	ErrRejected       = errors.New("the platform refuses the object")
	ErrUnavailable    = errors.New("the platform is unavailable; the call had no effect")
	ErrOutcomeUnknown = errors.New("the response was lost; the write may have taken effect")
	ErrRateLimited    = errors.New("too many calls; the call had no effect")
)

// Object is one object of the platform.
type Object struct {
	Resource string
	Name     string
	Version  uint64 // Increases with every write to the platform.
	Labels   map[string]string
	Spec     json.RawMessage // At most 1 MiB.
	Created  time.Time       // By the platform's clock; see Client.Age.
}

// List is a set of objects as of one version.
type List struct {
	Items   []Object // By name.
	Version uint64   // Version from which to watch for later changes.
}

// Config configures a Client. Zero fields take the defaults.
type Config struct {
	Addr             string // IP address and port of the platform.
	Deployment       string
	Token            string        // Bearer token; none if empty.
	AttemptTimeout   time.Duration // Of one attempt; 2 s by default.
	CallTimeout      time.Duration // Of all attempts of a call; twice AttemptTimeout by default.
	MaxDelay         time.Duration // Longest delay before an attempt, by backoff or rate limit; 250 ms by default.
	WatchReadTimeout time.Duration // Longest time between bytes of a watch; 4 s by default.
	CallsPerSecond   float64       // Rate limit of this client; 50 by default.
	PageSize         int           // Objects per page of a list; 500 by default.
	Retry            retrier.Config
}

func (c *Config) setDefaults() {
	defaulter.Set(&c.AttemptTimeout, 2*time.Second)
	defaulter.Set(&c.CallTimeout, 2*c.AttemptTimeout)
	defaulter.Set(&c.MaxDelay, 250*time.Millisecond)
	defaulter.Set(&c.WatchReadTimeout, 4*time.Second)
	defaulter.Set(&c.CallsPerSecond, 50)
	defaulter.Set(&c.PageSize, 500)
}

// Client is a client of the platform's object API. It is safe for concurrent use.
type Client struct {
	cfg     Config
	doer    requester.Doer
	clock   timekeeper.Sleeper
	limiter *rate.Limiter
	retrier *retrier.Retrier

	mu          sync.Mutex
	rng         *rand.Rand
	clockOffset time.Duration // Platform's clock minus the local clock.
}

// New returns a client that sends its requests through doer. The caller must not
// use rng afterwards.
func New(cfg Config, doer requester.Doer, clock timekeeper.Sleeper, rng *rand.Rand) *Client {
	cfg.setDefaults()
	return &Client{
		cfg:     cfg,
		doer:    doer,
		clock:   clock,
		limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), max(1, int(cfg.CallsPerSecond))),
		retrier: retrier.New(cfg.Retry),
		rng:     rng,
	}
}

// Get returns one object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, resource, name string) (Object, error) {
	body, err := c.read(ctx, c.path(resource, name))
	if err != nil {
		return Object{}, err
	}
	o, err := decodeObject(resource, body, ErrUnavailable)
	if err == nil && o.Name != name {
		return Object{}, CallError{Kind: ErrUnavailable, Detail: "response to another call"}
	}
	return o, err
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

// ListPage returns a page of at most limit objects and the token of the next
// page, or an empty token on the last page. An empty token requests the first
// page.
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

// Age returns the time since an object was created. It uses the platform's clock
// as given by the Date field of its responses, which has a resolution of one
// second. It returns zero if the time of creation is unknown.
func (c *Client) Age(o Object) time.Duration {
	if o.Created.IsZero() {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.clock.Now().Add(c.clockOffset).Sub(o.Created), 0)
}

// recordDate updates the clock offset from the Date field of a response.
func (c *Client) recordDate(date string) {
	t, err := time.Parse(time.RFC1123, date)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clockOffset = t.Sub(c.clock.Now())
}

// Create stores a new object and returns it with its version, or ErrExists. If
// the response is lost and the spec names its writer (see WriterID), the outcome
// is determined by reading the object back. If that is not possible, the error is
// ErrOutcomeUnknown.
func (c *Client) Create(ctx context.Context, o Object) (Object, error) {
	return c.write(ctx, write{method: "POST", path: c.path(o.Resource, ""), object: o})
}

// Update replaces the object whose version is o.Version and returns it with its
// new version, or ErrConflict. Lost responses are handled as in Create.
func (c *Client) Update(ctx context.Context, o Object) (Object, error) {
	return c.write(ctx, write{method: "PUT", path: c.path(o.Resource, o.Name), object: o})
}

// Delete removes the object if it still has the given version; zero matches any.
// If a response was lost and the object does not exist any more, Delete returns
// nil.
func (c *Client) Delete(ctx context.Context, resource, name string, version uint64) error {
	body, err := encodeDelete(version)
	if err != nil {
		return err
	}
	req := c.request("DELETE", c.path(resource, name), body)
	outcomeUnknown := false
	_, err = c.callWithRetries(ctx, req, func(err error) bool {
		outcomeUnknown = outcomeUnknown || errors.Is(err, ErrOutcomeUnknown)
		return true
	})
	switch {
	case !outcomeUnknown || err == nil:
		return err
	case errors.Is(err, ErrNotFound):
		return nil
	}
	return CallError{Kind: ErrOutcomeUnknown, Detail: err.Error(), RetryAfter: RetryAfter(err)}
}

// RetryAfter returns the delay that the platform or the client's rate limit
// requires before the next call, or zero if err contains none.
func RetryAfter(err error) time.Duration {
	var failure CallError
	if errors.As(err, &failure) {
		return failure.RetryAfter
	}
	return 0
}

// CallError is the error of a failed call.
type CallError struct {
	Kind       error // One of the kinds above, such as ErrNotFound.
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

// formatSelector returns the query form of a label selector.
func formatSelector(selector map[string]string) string {
	terms := make([]string, 0, len(selector))
	for k, v := range selector {
		terms = append(terms, k+"="+v)
	}
	return strings.Join(terms, ",")
}

// path returns the path of an object, or of its resource if name is empty.
func (c *Client) path(resource, name string) string {
	path := "/apis/monsoonspar.example/v1/namespaces/" + url.PathEscape(c.cfg.Deployment) + "/" + resource
	if name == "" {
		return path
	}
	return path + "/" + url.PathEscape(name)
}

// request returns a request to the platform.
func (c *Client) request(method, path string, body []byte) requester.Request {
	req := requester.Request{
		Method:        method,
		Addr:          c.cfg.Addr,
		Path:          path,
		Body:          body,
		NonIdempotent: method != "GET",
		ReadTimeout:   c.cfg.AttemptTimeout,
	}
	if c.cfg.Token != "" {
		req.Header = append(req.Header, requester.Header{Name: "Authorization", Value: "Bearer " + c.cfg.Token})
	}
	if len(body) > 0 {
		req.Header = append(req.Header, requester.Header{Name: "Content-Type", Value: "application/json"})
	}
	return req
}
