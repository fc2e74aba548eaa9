package listener

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Kinds of endless responses, see Endless.
const (
	EndlessHead      = "head"       // A field of the header does not end.
	EndlessChunkSize = "chunk_size" // The line with the size of a chunk does not end.
	EndlessChunks    = "chunks"
	EndlessBody      = "body"     // The body has neither a length nor chunks.
	EndlessLength    = "length"   // The body has a length of a terabyte.
	EndlessComments  = "comments" // The body consists of the comments of a stream, in chunks.
	EndlessFields    = "fields"   // The header has fields without end.
	EndlessInterim   = "interim"  // Interim responses precede the response without end.
	EndlessTrailer   = "trailer"  // The body ends, and its trailer does not.
	EndlessEvent     = "event"    // The body is one event whose line does not end, in chunks.
)

// MaxEndlessBytes ends an endless response that the client does not end.
const MaxEndlessBytes = 256 << 20

// Unframed sends the status and header of the response with neither a length nor
// chunks, calls write to write the body, and closes the connection.
func Unframed(ctx *fasthttp.RequestCtx, write func(net.Conn)) {
	head := rawHead(ctx) + "\r\n"
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		if _, err := io.WriteString(c, head); err == nil {
			write(c)
		}
	})
}

// rawHead returns the header of the response without its framing and its end.
func rawHead(ctx *fasthttp.RequestCtx) string {
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\n", ctx.Response.StatusCode())
	for k, v := range ctx.Response.Header.All() {
		if name := string(k); name != fasthttp.HeaderContentLength && name != fasthttp.HeaderTransferEncoding {
			head += name + ": " + string(v) + "\r\n"
		}
	}
	return head
}

// Endless sends the status and header of the response and then bytes of the given kind
// until the client closes the connection. It then calls done with the number of bytes
// sent and the time.
func Endless(ctx *fasthttp.RequestCtx, kind string, done func(n int, took time.Duration)) {
	head, part := rawHead(ctx), strings.Repeat("x", 1<<10)
	switch kind {
	case EndlessHead:
		head += "X-Endless: "
	case EndlessChunkSize:
		head += "Transfer-Encoding: chunked\r\n\r\n5;"
	case EndlessChunks:
		head, part = head+"Transfer-Encoding: chunked\r\n\r\n", "400\r\n"+part+"\r\n"
	case EndlessLength:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<40)
	case EndlessFields:
		part = "X-Endless: " + strings.Repeat("x", 1<<6) + "\r\n"
	case EndlessInterim:
		head, part = "", "HTTP/1.1 100 Continue\r\nX-Interim: x\r\n\r\n"
	case EndlessTrailer:
		head, part = head+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X-Trailer: x\r\n"
	case EndlessEvent:
		head, part = head+"Transfer-Encoding: chunked\r\n\r\na\r\nid: 1\ndata\r\n", "400\r\n"+part+"\r\n"
	case EndlessComments:
		head, part = head+"Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("c\r\n: comment\r\n\n\r\n", 1<<6)
	default:
		head += "\r\n"
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		start, sent := time.Now(), 0
		_, err := io.WriteString(c, head)
		for err == nil && sent < MaxEndlessBytes {
			var n int
			n, err = io.WriteString(c, part)
			sent += n
		}
		if done != nil {
			done(sent, time.Since(start))
		}
	})
}

// LateRefusal sends a second copy of the refusal of an earlier request before the response
// to this one, unless this is the first request on its connection. The refusal has the given
// header fields and body.
func LateRefusal(ctx *fasthttp.RequestCtx, fields, body string) {
	if ctx.ConnRequestNum() > 1 {
		// If the connection is lost, the response is too.
		_, _ = fmt.Fprintf(ctx.Conn(), "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
	}
}
