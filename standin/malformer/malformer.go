// Package malformer lists responses of HTTP/1.1 that break a rule of RFC 9112, and others that are sound but
// rare, for the tests of everything that reads responses.
package malformer

import "strings"

// fieldsMark is replaced by the field lines that a test adds to a response.
const fieldsMark = "{fields}"

// Response is a response as its bytes are on the wire.
type Response struct {
	Name string
	Form string // Rule that it breaks, as in package decoder; empty if it is sound.
	text string
}

// Text returns the bytes of the response with additional field lines, each of which ends with CRLF.
func (r Response) Text(fields string) string { return strings.ReplaceAll(r.text, fieldsMark, fields) }

// Body is the body of all sound responses.
const Body = "body"

const (
	okLine = "HTTP/1.1 200 OK\r\n"
	length = "Content-Length: 4\r\n"
	chunks = "Transfer-Encoding: chunked\r\n"
)

// head returns a response with a status line, without its end.
func head(statusLine string) string {
	return statusLine + "\r\n" + fieldsMark + length + "\r\n" + Body
}

// line returns a response with one more line in its header.
func line(l string) string { return okLine + l + "\r\n" + fieldsMark + length + "\r\n" + Body }

// lastLine is like line for a line at the end of the header.
func lastLine(l string) string {
	return okLine + fieldsMark + length + l + "\r\n\r\n" + Body
}

// chunked returns a response with a body in chunks.
func chunked(body string) string { return okLine + fieldsMark + chunks + "\r\n" + body }

// MalformedHeads returns responses whose heads break a rule.
func MalformedHeads() []Response {
	return []Response{
		{"status 000", "status_code", head("HTTP/1.1 000 OK")},
		{"status 000 without reason", "status_code", head("HTTP/1.1 000 ")},
		{"status 099", "status_code", head("HTTP/1.1 099 OK")},
		{"status of two digits", "status_line", head("HTTP/1.1 20")},
		{"status of four digits", "status_line", head("HTTP/1.1 2000 OK")},
		{"status with a sign", "status_code", head("HTTP/1.1 +20 OK")},
		{"two blanks before the status", "status_code", head("HTTP/1.1  200 OK")},
		{"control byte in the reason", "status_line", head("HTTP/1.1 200 O\x01K")},
		{"carriage return in the reason", "status_line", head("HTTP/1.1 200 O\rK")},
		{"blank before the version", "version", head(" HTTP/1.1 200 OK")},
		{"empty line before the status line", "version", "\r\n" + head("HTTP/1.1 200 OK")},
		{"HTTP/2.0", "version", head("HTTP/2.0 200 OK")},
		{"HTTP/0.9", "version", head("HTTP/0.9 200 OK")},
		{"lower case", "version", head("http/1.1 200 OK")},
		{"line feed alone", "line_end", "HTTP/1.1 200 OK\n" + fieldsMark + length + "\r\n" + Body},
		{"blank in a name", "field_name", line("X A: 1")},
		{"blank in the last name", "field_name", lastLine("X A: 1")},
		{"blank in the name of the length", "field_name", line("Content Length: 4")},
		{"blank in Transfer-Encoding", "field_name", line("Transfer Encoding: chunked")},
		{"blank before the colon", "field_name", line("X-A : 1")},
		{"tab before the colon", "field_name", line("X-A\t: 1")},
		{"control byte in a name", "field_name", line("X\x01A: 1")},
		{"delete in a name", "field_name", line("X\x7fA: 1")},
		{"byte above ASCII in a name", "field_name", line("X\xe9A: 1")},
		{"delimiter in a name", "field_name", line("X(A: 1")},
		{"empty name", "field_name", line(": 1")},
		{"no colon", "field_line", line("X-A")},
		{"folded line", "folded_line", line("X-A: 1\r\n 2")},
		{"blank before the first name", "folded_line", line(" X-A: 1")},
		{"control byte in a value", "field_value", line("X-A: a\x01b")},
		{"zero byte in a value", "field_value", line("X-A: a\x00b")},
		{"carriage return in a value", "field_value", line("X-A: a\rb")},
		{"two lengths", "content_length", line("Content-Length: 5")},
		{"length with a sign", "content_length", okLine + fieldsMark + "Content-Length: +4\r\n\r\n" + Body},
		{"length of letters", "content_length", okLine + fieldsMark + "Content-Length: 4x\r\n\r\n" + Body},
		{"empty length", "content_length", okLine + fieldsMark + "Content-Length:\r\n\r\n" + Body},
		{"length beyond all bounds", "content_length", okLine + fieldsMark + "Content-Length: 99999999999999999999\r\n\r\n" + Body},
		{"length and chunks", "transfer_encoding", okLine + fieldsMark + length + chunks + "\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"unknown encoding", "transfer_encoding", okLine + fieldsMark + "Transfer-Encoding: xchunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"encoding named twice", "transfer_encoding", okLine + fieldsMark + chunks + chunks + "\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"chunks in HTTP/1.0", "transfer_encoding", "HTTP/1.0 200 OK\r\n" + fieldsMark + chunks + "\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"another protocol", "interim", "HTTP/1.1 101 Switching Protocols\r\n" + fieldsMark + "\r\n" + Body},
		{"malformed interim response", "field_name", "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\n" + head("HTTP/1.1 200 OK")},
	}
}

// MalformedBodies returns responses with sound heads whose bodies break a rule.
func MalformedBodies() []Response {
	return []Response{
		{"blank after a chunk size", "chunk_size", chunked("4 \r\nbody\r\n0\r\n\r\n")},
		{"chunk size with a sign", "chunk_size", chunked("+4\r\nbody\r\n0\r\n\r\n")},
		{"chunk size with a prefix", "chunk_size", chunked("0x4\r\nbody\r\n0\r\n\r\n")},
		{"no chunk size", "chunk_size", chunked("\r\nbody\r\n0\r\n\r\n")},
		{"chunk size beyond all bounds", "chunk_size", chunked("ffffffffffffffffff\r\nbody")},
		{"bytes that are no chunk", "line_end", chunked("4\r\nbody\r\n\x00 not a chunk \x02\n")},
		{"empty chunk extension", "chunk_extension", chunked("4;\r\nbody\r\n0\r\n\r\n")},
		{"control byte in a chunk extension", "chunk_extension", chunked("4;a=\x01\r\nbody\r\n0\r\n\r\n")},
		{"line feed alone after a chunk size", "line_end", chunked("4\nbody\r\n0\r\n\r\n")},
		{"chunk longer than its size", "chunk_end", chunked("4\r\nbodyx\r\n0\r\n\r\n")},
		{"blank in the name of a trailer", "field_name", chunked("4\r\nbody\r\n0\r\nX T: 1\r\n\r\n")},
		{"blank before the colon of a trailer", "field_name", chunked("4\r\nbody\r\n0\r\nX-T : 1\r\n\r\n")},
		{"control byte in a trailer", "field_value", chunked("4\r\nbody\r\n0\r\nX-T: \x01\r\n\r\n")},
		{"length in the trailers", "trailer", chunked("4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n")},
	}
}

// Sound returns rare responses that break no rule. Their status is 200 unless the name says otherwise, and their
// body is Body.
func Sound() []Response {
	return []Response{
		{Name: "empty reason", text: head("HTTP/1.1 200 ")},
		{Name: "bytes above ASCII in the reason", text: head("HTTP/1.1 200 \xe9\xff\t")},
		{Name: "bytes above ASCII in a value", text: line("X-A: \xe9\x80\xff")},
		{Name: "all characters of names", text: line("x!#$%&'*+-.^_`|~09aZ: 1")},
		{Name: "tab in a value", text: line("X-A: a\tb")},
		{Name: "empty value", text: line("X-A:")},
		{Name: "no blank after the colon", text: line("X-A:1")},
		{Name: "names twice", text: line("X-A: 1\r\nx-a: 2")},
		{Name: "one interim response", text: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head("HTTP/1.1 200 OK")},
		{Name: "many interim responses", text: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40) + head("HTTP/1.1 200 OK")},
		{Name: "status 299", text: head("HTTP/1.1 299 Odd")},
		{Name: "status 477", text: head("HTTP/1.1 477 ")},
		{Name: "status 599", text: head("HTTP/1.1 599 Odd")},
		{Name: "HTTP/1.0", text: head("HTTP/1.0 200 OK")},
		{Name: "length with zeros", text: okLine + fieldsMark + "Content-Length: 0004\r\n\r\n" + Body},
		{Name: "chunk extensions", text: chunked("2;a\r\nbo\r\n2 ; b = \"c;\\\"\" ;d=e\r\ndy\r\n0;f\r\n\r\n")},
		{Name: "chunk sizes with zeros", text: chunked("0004\r\nbody\r\n000\r\n\r\n")},
		{Name: "trailers", text: chunked("4\r\nbody\r\n0\r\nX-T: 1\r\nX-U:\r\n\r\n")},
		{Name: "encoding in capitals", text: okLine + fieldsMark + "TRANSFER-ENCODING: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	}
}
