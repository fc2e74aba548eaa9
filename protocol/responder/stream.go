package responder

import (
	"io"
	"strings"

	"monsoonspar.example/coordination/sequencer"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
)

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Chunk is one piece of an answer, or a sign of life.
type Chunk struct {
	KeepAlive bool
	Token     sequencer.Token
	Resume    string // What follows the index in the event id.
	Usage     *Usage // With the last token.
	More      bool   // The next chunk is there already.
}

// Stream is an answer that is being generated.
type Stream interface {
	// Next returns the next chunk, and io.EOF after the last. It returns a
	// KeepAlive chunk at least every few seconds.
	Next() (Chunk, error)
	// First returns where the answer begins: its attempt, which may still change
	// while the index is 0, and the index of its first token. It is called before
	// Next.
	First() (sequencer.AttemptID, int)
	// Close ends the reading. Unless the answer is complete, the caller may
	// resume it for the grace time.
	Close()
}

// answer holds what all chunks of an answer share.
type answer struct {
	id      string
	model   string
	chat    bool
	created int64
}

// completionBody is the wire form of a whole answer or a chunk.
type completionBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model,omitempty"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int         `json:"index"`
	Text         *string     `json:"text,omitempty"`
	Delta        *chatDelta  `json:"delta,omitempty"`
	Message      *chatAnswer `json:"message,omitempty"`
	FinishReason *string     `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"` // With the first token only.
	Content string `json:"content"`
}

// assistantRole is the role of what a model says.
const assistantRole = "assistant"

type chatAnswer struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// finishReason returns the wire form of a reason that may be empty.
func finishReason(reason string) *string {
	if reason == "" {
		return nil
	}
	return &reason
}

// chunk returns the wire form of one token.
func (a answer) chunk(t sequencer.Token, u *Usage) completionBody {
	ch := choice{FinishReason: finishReason(t.Finish)}
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
		ch.Delta = &chatDelta{Content: t.Text}
		if t.Index == 0 {
			ch.Delta.Role = assistantRole
		}
	} else {
		ch.Text = &t.Text
	}
	return completionBody{ID: a.id, Object: object, Created: a.created, Model: a.model, Choices: []choice{ch}, Usage: u}
}

// whole returns the wire form of a complete answer.
func (a answer) whole(text, finish string, u *Usage) completionBody {
	ch := choice{FinishReason: finishReason(finish)}
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		ch.Message = &chatAnswer{Role: assistantRole, Content: text}
	} else {
		ch.Text = &text
	}
	return completionBody{ID: a.id, Object: object, Created: a.created, Model: a.model, Choices: []choice{ch}, Usage: u}
}

// whole collects an answer and sends it at once.
func (r *Responder) whole(c *fiber.Ctx, s Stream, a answer) error {
	defer s.Close()
	var text strings.Builder
	var last Chunk
	var ledger sequencer.DeliveryChecker
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
		ledger.Check(ch.Token)
		text.WriteString(ch.Token.Text)
		last = ch
	}
	c.Set(HeaderOutcome, string("ran"))
	return c.JSON(a.whole(text.String(), last.Token.Finish, last.Usage))
}

// stream sends an answer as server-sent events. The status waits for the first
// token, for a failure, or for a few signs of life, whichever is first.
func (r *Responder) stream(c *fiber.Ctx, s Stream, a answer) error {
	ledger := sequencer.NewDeliveryChecker(s.First())
	first, err := r.firstChunk(s)
	if err != nil {
		s.Close()
		return err
	}
	encoder, err := newChunkEncoder(a)
	if err != nil {
		s.Close()
		return err
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	events := &eventReader{s: s, first: &first, encoder: encoder, ledger: ledger}
	c.Context().SetBodyStream(events, -1)
	return nil
}

// firstChunk returns the first token, or a sign of life if none comes soon.
func (r *Responder) firstChunk(s Stream) (Chunk, error) {
	var ch Chunk
	var err error
	for range keepAlives {
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
