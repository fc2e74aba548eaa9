package decoder

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/verifier"
)

// Body returns a reader of the body that follows a head, or nil if there is none. It returns io.EOF only at the
// end that the framing marks, and io.ErrUnexpectedEOF if the connection ends before.
func (h *Head) Body(r *bufio.Reader) io.Reader {
	switch {
	case h.NoBody || h.Length == 0:
		return nil
	case h.Framing == verifier.ByLength:
		return &lengthReader{r: r, rest: h.Length}
	case h.Framing == verifier.ByChunks:
		return &chunkReader{r: r}
	default:
		return r
	}
}

// lengthReader reads a body of a known length.
type lengthReader struct {
	r    *bufio.Reader
	rest int
}

// Read implements io.Reader.
func (l *lengthReader) Read(p []byte) (int, error) {
	if l.rest == 0 {
		return 0, io.EOF
	}
	n, err := l.r.Read(p[:min(len(p), l.rest)])
	l.rest -= n
	return n, unexpectedEnd(err)
}

// unexpectedEnd converts the error of a read inside a body.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// chunkReader reads a body in chunks.
type chunkReader struct {
	r     *bufio.Reader
	rest  int64 // Bytes left of the current chunk.
	begun bool  // A chunk has been read.
	err   error // Returned by all later calls.
}

// Read implements io.Reader.
func (c *chunkReader) Read(p []byte) (int, error) {
	if c.err != nil || len(p) == 0 {
		return 0, c.err
	}
	if c.rest == 0 {
		if c.err = c.nextChunk(); c.err != nil {
			return 0, c.err
		}
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.rest)])
	c.rest -= int64(n)
	c.err = unexpectedEnd(err)
	return n, c.err
}

// nextChunk reads up to the data of the next chunk. It returns io.EOF after the last one and its trailers.
func (c *chunkReader) nextChunk() error {
	if c.begun {
		if err := c.readChunkEnd(); err != nil {
			return err
		}
	}
	c.begun = true
	size := 0
	line, err := readLine(c.r, &size, maxHeadBytes)
	if err != nil {
		return err
	}
	if c.rest, err = parseChunkLine(line); err != nil || c.rest > 0 {
		return err
	}
	size = 0
	trailers, err := readFields(c.r, &size, maxTrailerBytes)
	if err != nil {
		return err
	}
	for _, f := range trailers {
		if strings.EqualFold(f.Name, "Content-Length") || strings.EqualFold(f.Name, "Transfer-Encoding") || strings.EqualFold(f.Name, "Trailer") {
			return malformed(FormTrailer, f.Name)
		}
	}
	return io.EOF
}

// readChunkEnd reads the end of the data of a chunk.
func (c *chunkReader) readChunkEnd() error {
	for _, want := range []byte("\r\n") {
		got, err := c.r.ReadByte()
		if err != nil {
			return unexpectedEnd(err)
		}
		if got != want {
			return malformed(FormChunkEnd, []byte{got})
		}
	}
	return nil
}

// maxSizeDigits is the number of digits of the largest chunk size that fits.
const maxSizeDigits = 15

// parseChunkLine parses the line before the data of a chunk and returns the size of the data in bytes.
func parseChunkLine(line []byte) (int64, error) {
	n := 0
	for n < len(line) && isHexDigit(line[n]) {
		n++
	}
	digits := line[:n]
	for len(digits) > 1 && digits[0] == '0' {
		digits = digits[1:]
	}
	size, err := strconv.ParseInt(string(digits), 16, 64)
	if err != nil || len(digits) > maxSizeDigits {
		return 0, malformed(FormChunkSize, line)
	}
	if !isChunkExtension(line[n:]) {
		form := FormChunkExtension
		if n < len(line) && line[n] != ';' {
			form = FormChunkSize
		}
		return 0, malformed(form, line)
	}
	return size, nil
}

func isHexDigit(c byte) bool {
	return isDigit(c) || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

// isChunkExtension reports whether p is a series of chunk extensions, which may be empty.
func isChunkExtension(p []byte) bool {
	for len(p) > 0 {
		p = skipBlanks(p)
		if len(p) == 0 || p[0] != ';' {
			return false
		}
		rest, ok := skipToken(skipBlanks(p[1:]))
		if !ok {
			return false
		}
		p = rest
		if value := skipBlanks(p); len(value) > 0 && value[0] == '=' {
			if p, ok = skipExtensionValue(skipBlanks(value[1:])); !ok {
				return false
			}
		}
	}
	return true
}

// skipExtensionValue returns what follows the token or the quoted string at the start of p.
func skipExtensionValue(p []byte) ([]byte, bool) {
	if len(p) == 0 || p[0] != '"' {
		return skipToken(p)
	}
	for i := 1; i < len(p); i++ {
		switch c := p[i]; {
		case c == '"':
			return p[i+1:], true
		case c == '\\':
			i++
			if i == len(p) || !isText(p[i:i+1]) {
				return nil, false
			}
		case !isText(p[i : i+1]):
			return nil, false
		}
	}
	return nil, false
}

func skipBlanks(p []byte) []byte {
	for len(p) > 0 && (p[0] == ' ' || p[0] == '\t') {
		p = p[1:]
	}
	return p
}

// skipToken returns what follows the token at the start of p, and false if there is none.
func skipToken(p []byte) ([]byte, bool) {
	n := 0
	for n < len(p) && isTokenChar(p[n]) {
		n++
	}
	return p[n:], n > 0
}
