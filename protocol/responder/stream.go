package responder

import (
	"io"
	"strings"

	"monsoonspar.example/coordination/sequencer"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
)

// Usage counts the tokens of a completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Chunk is one token of a completion, or a keep-alive.
type Chunk struct {
	KeepAlive     bool
	Token         sequencer.Token
	EventIDSuffix string // Suffix of the event ID after the token index.
	Usage         *Usage // Set with the last token.
	MoreBuffered  bool   // The next chunk is available without blocking.
}

// Stream is a completion that is being generated.
type Stream interface {
	// Next returns the next chunk, and io.EOF after the last. It returns a
	// KeepAlive chunk at least every few seconds.
	Next() (Chunk, error)
	// First returns the attempt and the index of the first token of the stream.
	// If the index is 0, no token has been delivered yet, and the attempt may
	// still change. First is called before Next.
	First() (sequencer.AttemptID, int)
	// Close stops reading. The caller can resume an incomplete stream within the
	// grace period.
	Close()
}

// completionMeta holds the fields that all chunks of a completion share.
type completionMeta struct {
	id      string
	model   string
	chat    bool
	created int64
}

// completionBody is the wire form of a complete response or a chunk.
type completionBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model,omitempty"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int                  `json:"index"`
	Text         *string              `json:"text,omitempty"`
	Delta        *chatDelta           `json:"delta,omitempty"`
	Message      *chatResponseMessage `json:"message,omitempty"`
	FinishReason *string              `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"` // Set with the first token only.
	Content string `json:"content"`
}

// assistantRole is the role of generated messages.
const assistantRole = "assistant"

type chatResponseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// finishReason returns nil for an empty reason, which is null on the wire.
func finishReason(reason string) *string {
	if reason == "" {
		return nil
	}
	return &reason
}

// chunkBody returns the wire form of one token.
func (m completionMeta) chunkBody(t sequencer.Token, u *Usage) completionBody {
	ch := choice{FinishReason: finishReason(t.Finish)}
	object := "text_completion"
	if m.chat {
		object = "chat.completion.chunk"
		ch.Delta = &chatDelta{Content: t.Text}
		if t.Index == 0 {
			ch.Delta.Role = assistantRole
		}
	} else {
		ch.Text = &t.Text
	}
	return completionBody{ID: m.id, Object: object, Created: m.created, Model: m.model, Choices: []choice{ch}, Usage: u}
}

// completeBody returns the wire form of a complete response.
func (m completionMeta) completeBody(text, finish string, u *Usage) completionBody {
	ch := choice{FinishReason: finishReason(finish)}
	object := "text_completion"
	if m.chat {
		object = "chat.completion"
		ch.Message = &chatResponseMessage{Role: assistantRole, Content: text}
	} else {
		ch.Text = &text
	}
	return completionBody{ID: m.id, Object: object, Created: m.created, Model: m.model, Choices: []choice{ch}, Usage: u}
}

// sendComplete reads a stream to its end and sends it as one response.
func (r *Responder) sendComplete(c *fiber.Ctx, s Stream, meta completionMeta) error {
	defer s.Close()
	var text strings.Builder
	var last Chunk
	var checker sequencer.DeliveryChecker
	for {
		ch, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if ch.KeepAlive {
			continue
		}
		checker.Check(ch.Token)
		text.WriteString(ch.Token.Text)
		last = ch
	}
	c.Set(HeaderOutcome, string("ran"))
	return c.JSON(meta.completeBody(text.String(), last.Token.Finish, last.Usage))
}

// sendStream sends a stream as server-sent events. The status is sent after the
// first token, a failure or maxLeadingKeepAlives keep-alives, whichever is first,
// so that an early failure can still set it.
func (r *Responder) sendStream(c *fiber.Ctx, s Stream, meta completionMeta) error {
	checker := sequencer.NewDeliveryChecker(s.First())
	first, err := r.firstChunk(s)
	if err != nil {
		s.Close()
		return err
	}
	encoder, err := newChunkEncoder(meta)
	if err != nil {
		s.Close()
		return err
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	events := &eventReader{stream: s, pending: &first, encoder: encoder, checker: checker}
	c.Context().SetBodyStream(events, -1)
	return nil
}

// firstChunk returns the first token. It returns a keep-alive if the stream is
// empty or begins with maxLeadingKeepAlives keep-alives.
func (r *Responder) firstChunk(s Stream) (Chunk, error) {
	var ch Chunk
	var err error
	for range maxLeadingKeepAlives {
		ch, err = s.Next()
		if err != nil || !ch.KeepAlive {
			break
		}
	}
	if errors.Is(err, io.EOF) {
		return Chunk{KeepAlive: true}, nil
	}
	return ch, err
}
