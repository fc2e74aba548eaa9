package responder

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"monsoonspar.example/state/cataloger"

	"github.com/gofiber/fiber/v2"
)

// completionRequest is the wire form of a request for a completion. Other fields
// are ignored, since clients send many that have no meaning here.
type completionRequest struct {
	Model               string        `json:"model"`
	Prompt              string        `json:"prompt"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	sharedBytes         int           // Length of the rendered system messages at the start of the prompt.
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (r *Responder) createCompletion(c *fiber.Ctx) error { return r.generate(c, false) }

func (r *Responder) createChatCompletion(c *fiber.Ctx) error { return r.generate(c, true) }

// generate serves a new or resumed completion, of a chat if chat is set.
func (r *Responder) generate(c *fiber.Ctx, chat bool) error {
	customer, err := r.authenticate(c)
	if err != nil {
		return err
	}
	if c.Get(HeaderLastEventID) != "" {
		return r.resume(c, customer, chat)
	}
	g, err := r.parseGeneration(c, customer, chat)
	if err != nil {
		return err
	}
	c.Set(HeaderRequestID, g.ID)
	s, err := r.backend.Generate(c.UserContext(), g)
	if err != nil {
		return err
	}
	meta := completionMeta{id: g.ID, model: g.Model, chat: chat, created: r.clock.Now().Unix()}
	if g.Stream {
		return r.sendStream(c, s, meta)
	}
	return r.sendComplete(c, s, meta)
}

// resumeByGet resumes a stream by GET, which browsers' EventSource uses to
// reconnect.
func (r *Responder) resumeByGet(c *fiber.Ctx) error {
	customer, err := r.authenticate(c)
	if err != nil {
		return err
	}
	if c.Get(HeaderLastEventID) == "" {
		return &RequestError{Status: fiber.StatusMethodNotAllowed, Code: "method_not_allowed", Message: "GET only resumes a stream and needs Last-Event-ID"}
	}
	return r.resume(c, customer, strings.Contains(c.Path(), "/chat/"))
}

// resume continues a stream after the last event that the caller received.
func (r *Responder) resume(c *fiber.Ctx, customer cataloger.Customer, chat bool) error {
	s, err := r.backend.Resume(c.UserContext(), customer, c.Get(HeaderLastEventID))
	if err != nil {
		return err
	}
	return r.sendStream(c, s, completionMeta{id: r.cfg.RequestID(), chat: chat, created: r.clock.Now().Unix()})
}

// parseGeneration decodes and validates a request for a generation.
func (r *Responder) parseGeneration(c *fiber.Ctx, customer cataloger.Customer, chat bool) (Generation, error) {
	body := c.Body()
	m := r.backend.Manifest()
	if err := checkSize(body, m.Defaults); err != nil {
		return Generation{}, err
	}
	req, err := decodeCompletion(body, chat)
	if err != nil {
		return Generation{}, err
	}
	model, err := findModel(m, req.Model)
	if err != nil {
		return Generation{}, err
	}
	g := Generation{
		ID: r.cfg.RequestID(), Customer: customer, Model: req.Model, Prompt: req.Prompt,
		SharedPrefixBytes: req.sharedBytes,
		Stream:            req.Stream, Fingerprint: fingerprint(c.Path(), body),
	}
	if g.MaxTokens, err = maxTokens(req, model); err != nil {
		return Generation{}, err
	}
	if g.Timeout, err = timeout(c, m.Defaults); err != nil {
		return Generation{}, err
	}
	if g.IdempotencyKey, err = idempotencyKey(c); err != nil {
		return Generation{}, err
	}
	if g.JobKind, err = jobKind(c); err != nil {
		return Generation{}, err
	}
	if g.NonIdempotent, err = nonIdempotent(c); err != nil {
		return Generation{}, err
	}
	return g, nil
}

// checkSize rejects a body that exceeds the limit in the manifest.
func checkSize(body []byte, d cataloger.Defaults) error {
	if d.MaxBodyBytes > 0 && len(body) > d.MaxBodyBytes {
		return &RequestError{
			Status: fiber.StatusRequestEntityTooLarge, Code: "body_too_large",
			Message: "the body exceeds " + strconv.Itoa(d.MaxBodyBytes) + " bytes",
		}
	}
	return nil
}

// decodeCompletion decodes and validates a body.
func decodeCompletion(body []byte, chat bool) (completionRequest, error) {
	var req completionRequest
	if !utf8.Valid(body) {
		return req, badRequest("not_utf8", "the body is not valid UTF-8")
	}
	if err := json.Unmarshal(body, &req); err != nil {
		return req, badRequest("malformed_json", "the body is not a valid request: %s", err)
	}
	if chat {
		if len(req.Messages) == 0 {
			return req, badRequest("no_messages", "messages must not be empty")
		}
		req.Prompt = renderMessages(req.Messages)
		req.sharedBytes = len(renderMessages(systemMessages(req.Messages))) - len(assistantPrefix)
	}
	if req.Prompt == "" {
		return req, badRequest("no_prompt", "prompt must not be empty")
	}
	return req, nil
}

// renderMessages renders the messages of a chat as one prompt.
func renderMessages(ms []chatMessage) string {
	var b strings.Builder
	for _, m := range ms {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	b.WriteString(assistantPrefix)
	return b.String()
}

// assistantPrefix ends a rendered chat; the model continues after it.
const assistantPrefix = assistantRole + ": "

// systemMessages returns the system messages at the start of a chat, which the
// chats of an application share.
func systemMessages(ms []chatMessage) []chatMessage {
	for i, m := range ms {
		if m.Role != "system" {
			return ms[:i]
		}
	}
	return ms
}

// findModel returns the model for a name of the form accepted by ParseModel;
// version and adapter are ignored.
func findModel(m *cataloger.Manifest, name string) (cataloger.Model, error) {
	base := ParseModel(name).Model
	for _, model := range m.Models {
		if model.Name == base {
			return model, nil
		}
	}
	return cataloger.Model{}, &RequestError{Status: fiber.StatusNotFound, Code: "model_not_found", Message: "no model is called " + strconv.Quote(name)}
}

// ParseModel splits "model@version:adapter" into its parts. The version and the
// adapter are optional.
func ParseModel(name string) cataloger.Placement {
	name, adapter, _ := strings.Cut(name, ":")
	model, version, _ := strings.Cut(name, "@")
	return cataloger.Placement{Model: model, Version: version, Adapter: adapter}
}

// maxTokens returns the limit on output tokens in a request, zero if it has none.
func maxTokens(req completionRequest, m cataloger.Model) (int, error) {
	n := req.MaxTokens
	if n == nil {
		n = req.MaxCompletionTokens
	}
	if n == nil {
		return 0, nil
	}
	if *n < 1 || (m.MaxTokens > 0 && *n > m.MaxTokens) {
		return 0, badRequest("max_tokens_out_of_range", "max_tokens must be between 1 and %d", m.MaxTokens)
	}
	return *n, nil
}

// timeout returns the timeout that the caller sent, or the default.
func timeout(c *fiber.Ctx, d cataloger.Defaults) (time.Duration, error) {
	value := c.Get(HeaderTimeout)
	if value == "" {
		return d.Timeout, nil
	}
	ms, err := strconv.ParseInt(value, 10, 32)
	if err != nil || ms < 1 || time.Duration(ms)*time.Millisecond > d.MaxTimeout {
		return 0, badRequest("timeout_out_of_range", "%s must be between 1 and %d", HeaderTimeout, d.MaxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// idempotencyKey returns the idempotency key that the caller sent, without
// quotes, or the empty string.
func idempotencyKey(c *fiber.Ctx) (string, error) {
	key := strings.Trim(c.Get(HeaderIdempotencyKey), `"`)
	if len(key) > maxIdempotencyKeyBytes || !utf8.ValidString(key) {
		return "", badRequest("idempotency_key_invalid", "%s must be valid UTF-8 of at most %d bytes", HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	}
	return key, nil
}

// nonIdempotent reports whether the caller marked the request to run at most once.
func nonIdempotent(c *fiber.Ctx) (bool, error) {
	value := c.Get(HeaderNonIdempotent)
	if value == "" {
		return false, nil
	}
	marked, err := strconv.ParseBool(strings.ToLower(value))
	if err != nil {
		return false, badRequest("non_idempotent_invalid", "%s must be true or false", HeaderNonIdempotent)
	}
	return marked, nil
}

// jobKind returns the kind of job that the caller sent, or the empty string.
func jobKind(c *fiber.Ctx) (string, error) {
	kind := c.Get(HeaderJobKind)
	if len(kind) > maxJobKindBytes || !utf8.ValidString(kind) {
		return "", badRequest("job_kind_invalid", "%s must be valid UTF-8 of at most %d bytes", HeaderJobKind, maxJobKindBytes)
	}
	return kind, nil
}

// fingerprint returns a hash of the path and the body of a request.
func fingerprint(path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
