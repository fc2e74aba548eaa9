// Package decoder reads responses of HTTP/1.1 as RFC 9112 defines them, and refuses everything else.
//
// What a client gets, and what is known of a server, is taken from responses. A lenient reader
// passes on what the next reader takes for something else, so nothing is repaired here: not the
// blank before a colon, not a folded field, not a length that comes twice. Bytes that break a rule
// are an error that matches ErrMalformed and names the rule; none of the response may be used then.
package decoder

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"monsoonspar.example/coordination/verifier"
	"monsoonspar.example/protocol/requester"
)

// ErrMalformed is matched by the errors of bytes that are no response.
var ErrMalformed = errors.New("malformed response")

// Form is the rule that a malformed response breaks, in logs and counters.
type Form string

// Forms of malformed responses, with the section of RFC 9112 unless another one is named.
const (
	FormLineEnd          Form = "line_end"          // 2.2: a line ends with CRLF.
	FormVersion          Form = "version"           // 2.3: HTTP/1.0 or a version of HTTP/1 after it.
	FormStatusLine       Form = "status_line"       // 4: blanks and characters of the status line.
	FormStatusCode       Form = "status_code"       // 4, and RFC 9110, 15: three digits, of which the first is not 0.
	FormInterim          Form = "interim"           // RFC 9110, 15.2: too many interim responses, or one that changes the protocol.
	FormFieldName        Form = "field_name"        // 5.1: a token, and no blank before the colon.
	FormFieldValue       Form = "field_value"       // 5.5 of RFC 9110: no control characters but tabs.
	FormFieldLine        Form = "field_line"        // 5: a line without a colon.
	FormFoldedLine       Form = "folded_line"       // 5.2: a line that begins with a blank.
	FormTransferEncoding Form = "transfer_encoding" // 6.1: "chunked" alone, once, in HTTP/1.1, without a length.
	FormContentLength    Form = "content_length"    // 6.2, 6.3: one decimal number.
	FormChunkSize        Form = "chunk_size"        // 7.1: a hexadecimal number.
	FormChunkExtension   Form = "chunk_extension"   // 7.1.1: names with values.
	FormChunkEnd         Form = "chunk_end"         // 7.1: CRLF after the data.
	FormTrailer          Form = "trailer"           // 7.1.2, and RFC 9110, 6.5.1: a field that concerns the framing.
	FormTooLarge         Form = "too_large"         // A head, a line of a chunk or a trailer section beyond the limit of its size.
)

// MalformedError is the error of a response that breaks a rule. It matches ErrMalformed.
type MalformedError struct {
	Form   Form
	Detail string // The bytes at fault, at most maxDetailBytes of them; may be empty.
}

// Error implements error.
func (e MalformedError) Error() string {
	text := ErrMalformed.Error() + ": " + string(e.Form)
	if e.Detail != "" {
		text += " " + strconv.QuoteToASCII(e.Detail)
	}
	return text
}

// Unwrap returns ErrMalformed.
func (MalformedError) Unwrap() error { return ErrMalformed }

// FormOf returns the rule that a malformed response breaks, or an empty string for any other error.
func FormOf(err error) Form {
	var malformed MalformedError
	if errors.As(err, &malformed) {
		return malformed.Form
	}
	return ""
}

// maxDetailBytes limits what an error quotes of a response.
const maxDetailBytes = 32

func malformed[T string | []byte](form Form, detail T) error {
	return MalformedError{Form: form, Detail: string(detail[:min(len(detail), maxDetailBytes)])}
}

// Limits of what is read, in bytes unless told. The buffer of the reader limits a line as well.
const (
	maxHeadBytes    = 4 << 10  // Of one head.
	maxTrailerBytes = 4 << 10  // Of the trailer section, whose fields are dropped.
	maxInterimBytes = 64 << 10 // Of the heads of interim responses before a response.
)

// Head is the status line and the header of a response.
type Head struct {
	Status  int
	Fields  []requester.Header // Names as sent; values without the blanks around them.
	Framing verifier.Framing
	Length  int  // That the header declares; negative if it declares none.
	NoBody  bool // The status or the request rules out a body, whatever the header declares.
	Close   bool // The connection ends after the response.
}

// ReadHead reads the head of the response to a request with the given method. Interim responses before it are
// dropped. The error matches ErrMalformed unless reading has failed: io.EOF if nothing has arrived, and
// io.ErrUnexpectedEOF if the connection ended inside the head.
func ReadHead(r *bufio.Reader, method string) (Head, error) {
	for interim := 0; interim < maxInterimBytes; {
		h, size, err := readHead(r, method)
		if err != nil || h.Status >= statusOK {
			return h, err
		}
		if h.Status == statusSwitching { // No request asks for another protocol.
			return Head{}, malformed(FormInterim, strconv.Itoa(h.Status))
		}
		interim += size
	}
	return Head{}, malformed(FormInterim, "")
}

// Status codes that decide how a response is read.
const (
	minStatus       = 100
	statusSwitching = 101
	statusOK        = 200
	statusNoContent = 204
	statusUnchanged = 304
)

// readHead reads one head and returns its size in bytes as well.
func readHead(r *bufio.Reader, method string) (h Head, size int, err error) {
	line, err := readLine(r, &size, maxHeadBytes)
	if err != nil {
		if size == 0 && errors.Is(err, io.ErrUnexpectedEOF) {
			err = io.EOF
		}
		return Head{}, size, err
	}
	minor, status, err := parseStatusLine(line)
	if err != nil {
		return Head{}, size, err
	}
	h.Status = status
	if h.Fields, err = readFields(r, &size, maxHeadBytes); err != nil {
		return Head{}, size, err
	}
	if err := h.setFraming(minor, method); err != nil {
		return Head{}, size, err
	}
	h.Close = !h.persists(minor)
	return h, size, nil
}

// readLine reads a line and returns it without its end. It is valid until the next read. The sum of the sizes
// of lines is kept in size.
func readLine(r *bufio.Reader, size *int, limit int) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	*size += len(line)
	switch {
	case errors.Is(err, bufio.ErrBufferFull), err == nil && *size > limit:
		return nil, malformed(FormTooLarge, line)
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	case len(line) < 2 || line[len(line)-2] != '\r':
		return nil, malformed(FormLineEnd, line)
	}
	return line[:len(line)-2], nil
}

// parseStatusLine parses a status line: the minor version of HTTP/1, and the status code.
func parseStatusLine(line []byte) (minor byte, status int, err error) {
	const version, code = len("HTTP/1.x"), len("HTTP/1.x 200")
	if len(line) < version || string(line[:version-1]) != "HTTP/1." || !isDigit(line[version-1]) {
		return 0, 0, malformed(FormVersion, line)
	}
	if len(line) < code || line[version] != ' ' {
		return 0, 0, malformed(FormStatusLine, line)
	}
	for _, c := range line[version+1 : code] {
		if !isDigit(c) {
			return 0, 0, malformed(FormStatusCode, line)
		}
		status = 10*status + int(c-'0')
	}
	if status < minStatus {
		return 0, 0, malformed(FormStatusCode, line)
	}
	reason := line[code:]
	if len(reason) > 0 && reason[0] != ' ' || !isText(reason) { // Many servers leave out the blank before an empty reason.
		return 0, 0, malformed(FormStatusLine, line)
	}
	return line[version-1], status, nil
}

// readFields reads field lines up to and including the empty line after them.
func readFields(r *bufio.Reader, size *int, limit int) ([]requester.Header, error) {
	var fields []requester.Header
	for {
		line, err := readLine(r, size, limit)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return fields, nil
		}
		f, err := parseField(line)
		if err != nil {
			return nil, err
		}
		fields = append(fields, f)
	}
}

// parseField parses a field line.
func parseField(line []byte) (requester.Header, error) {
	if line[0] == ' ' || line[0] == '\t' {
		return requester.Header{}, malformed(FormFoldedLine, line)
	}
	n := 0
	for n < len(line) && isTokenChar(line[n]) {
		n++
	}
	switch {
	case n == len(line):
		return requester.Header{}, malformed(FormFieldLine, line)
	case n == 0 || line[n] != ':':
		return requester.Header{}, malformed(FormFieldName, line)
	case !isText(line[n+1:]):
		return requester.Header{}, malformed(FormFieldValue, line)
	}
	return requester.Header{Name: string(line[:n]), Value: strings.Trim(string(line[n+1:]), " \t")}, nil
}

// setFraming sets what the header says of the length of the body.
func (h *Head) setFraming(minor byte, method string) error {
	lengths, encodings := h.values("Content-Length"), h.values("Transfer-Encoding")
	length, err := parseLength(lengths)
	if err != nil {
		return err
	}
	if len(encodings) > 0 && (minor == '0' || len(lengths) > 0 || len(encodings) > 1 || !strings.EqualFold(encodings[0], "chunked")) {
		return malformed(FormTransferEncoding, strings.Join(encodings, ","))
	}
	h.Length = length
	h.NoBody = method == "HEAD" || h.Status < statusOK || h.Status == statusNoContent || h.Status == statusUnchanged
	switch {
	case h.NoBody || length >= 0:
		h.Framing = verifier.ByLength
	case len(encodings) > 0:
		h.Framing = verifier.ByChunks
	default:
		h.Framing = verifier.ByConnection
	}
	return nil
}

// values returns the values of all fields with a name.
func (h *Head) values(name string) []string {
	var values []string
	for _, f := range h.Fields {
		if strings.EqualFold(f.Name, name) {
			values = append(values, f.Value)
		}
	}
	return values
}

// unknownLength is the length that a header without one declares.
const unknownLength = -1

// parseLength parses the values of Content-Length.
func parseLength(values []string) (int, error) {
	if len(values) == 0 {
		return unknownLength, nil
	}
	if len(values) > 1 || values[0] == "" || strings.Trim(values[0], "0123456789") != "" {
		return 0, malformed(FormContentLength, strings.Join(values, ","))
	}
	n, err := strconv.Atoi(values[0])
	if err != nil {
		return 0, malformed(FormContentLength, values[0])
	}
	return n, nil
}

// persists reports whether the connection may be used after the response.
func (h *Head) persists(minor byte) bool {
	keeps := minor != '0'
	for _, value := range h.values("Connection") {
		for option := range strings.SplitSeq(value, ",") {
			switch option = strings.Trim(option, " \t"); {
			case strings.EqualFold(option, "close"):
				return false
			case strings.EqualFold(option, "keep-alive"):
				keeps = true
			}
		}
	}
	return keeps && h.Framing != verifier.ByConnection
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether p holds only characters of field values and reasons: visible ones, blanks, tabs, and
// those above ASCII.
func isText(p []byte) bool {
	for _, c := range p {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isTokenChar reports whether c may be part of a token (RFC 9110, 5.6.2).
func isTokenChar(c byte) bool {
	switch {
	case isDigit(c), 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
