// Package responsetest has HTTP/1.1 responses as bytes, malformed and sound, and servers that send them, to test that
// clients take no malformed response for an answer and reject no sound one.
package responsetest

import (
	"fmt"
	"strings"
)

// Case is a response.
type Case struct {
	Name string
	// Raw is the complete text that the server sends before it closes the connection.
	Raw string
}

// Group returns responses with the given header lines, with their line ends, and the given body.
type Group func(fields, body string) []Case

// Malformed are the groups of responses that every client rejects.
var Malformed = map[string]Group{"status": MalformedStatus, "fields": MalformedFields, "trailers": MalformedTrailers}

// response returns a response with a body of known length. fields are header lines with their line ends.
func response(statusLine, fields, body string) string {
	return fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", statusLine, fields, len(body), body)
}

func chunked(statusLine, fields, body, trailers string) string {
	return fmt.Sprintf("%s\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", statusLine, fields, len(body), body, trailers)
}

const ok = "HTTP/1.1 200 OK"

// MalformedStatus returns responses whose status line is not one of a final or interim HTTP/1.x response to a request
// without Upgrade. What follows it looks like a sound response, with the given header lines and body.
func MalformedStatus(fields, body string) []Case {
	var cases []Case
	sound := response(ok, fields, body)
	for _, status := range []string{"000", "001", "020", "099", "101", "600", "999", "+20", "+99"} {
		line := "HTTP/1.1 " + status + " Unknown"
		cases = append(cases,
			Case{status, response(line, fields, body)},
			Case{status + " without body", line + "\r\n" + fields + "\r\n"},
			Case{status + " and a response", line + "\r\n\r\n" + sound},
			Case{status + " with fields and a response", line + "\r\n" + fields + "\r\n" + sound},
			Case{status + " after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n" + response(line, fields, body) + sound},
		)
	}
	for _, reason := range []string{"OK\x00", "OK\rContent-Length: 1", "\x7f"} {
		cases = append(cases, Case{fmt.Sprintf("reason %q", reason), response("HTTP/1.1 200 "+reason, fields, body)})
	}
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/9.9"} {
		cases = append(cases, Case{version, response(version+" 200 OK", fields, body)})
	}
	return cases
}

// MalformedFields returns responses with a header line that is not a field.
func MalformedFields(fields, body string) []Case {
	var cases []Case
	for _, malformed := range malformedLines() {
		name, line := malformed.Name, malformed.Raw
		cases = append(cases,
			Case{name, response(ok, fields+line, body)},
			Case{name + ", first line", response(ok, line+fields, body)},
			Case{name + ", chunked", chunked(ok, fields+line, body, "")},
			Case{name + ", without length", ok + "\r\n" + fields + line + "\r\n" + body},
			Case{name + ", no content", "HTTP/1.1 204 No Content\r\n" + fields + line + "\r\n"},
			Case{name + ", refusal", response("HTTP/1.1 503 Service Unavailable", fields+"Not-Executed: 1\r\n"+line, body)},
			Case{name + ", interim response", "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + response(ok, fields, body)},
		)
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	for _, space := range []string{" ", "  ", "\t"} {
		name := fmt.Sprintf("%q before the colon of ", space)
		cases = append(cases,
			Case{name + "Content-Length", fmt.Sprintf("%s\r\n%sContent-Length%s: %d\r\n\r\n%s", ok, fields, space, len(body), body)},
			Case{name + "Content-Length, shorter", fmt.Sprintf("%s\r\n%sContent-Length%s: %d\r\n\r\n%s", ok, fields, space, len(body)-1, body)},
			Case{name + "Transfer-Encoding", fmt.Sprintf("%s\r\n%sTransfer-Encoding%s: chunked\r\n\r\n%s", ok, fields, space, chunk)},
			Case{name + "Transfer-Encoding, with a length", fmt.Sprintf("%s\r\n%sTransfer-Encoding%s: chunked\r\nContent-Length: %d\r\n\r\n%s",
				ok, fields, space, len(chunk), chunk)},
		)
	}
	return cases
}

// MalformedTrailers returns responses with a trailer line that is not a field.
func MalformedTrailers(fields, body string) []Case {
	var cases []Case
	for _, malformed := range malformedLines() {
		name, line := malformed.Name, malformed.Raw
		cases = append(cases,
			Case{name, chunked(ok, fields, body, line)},
			Case{name + ", after a field", chunked(ok, fields, body, "A: b\r\n"+line)},
			Case{name + ", announced", chunked(ok, fields+"Trailer: A\r\n", body, "A: b\r\n"+line)},
		)
	}
	return cases
}

// ChunkedHTTP10 returns HTTP/1.0 responses with a transfer coding, which that version does not have.
func ChunkedHTTP10(fields, body string) []Case {
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	var cases []Case
	for _, field := range []string{"Transfer-Encoding: chunked", "transfer-encoding:chunked", "Transfer-Encoding: identity"} {
		cases = append(cases,
			Case{field, "HTTP/1.0 200 OK\r\n" + fields + field + "\r\n\r\n" + chunk},
			Case{field + ", with a length", response("HTTP/1.0 200 OK", fields+field+"\r\n", chunk)},
			Case{field + ", first line", "HTTP/1.0 200 OK\r\n" + field + "\r\n" + fields + "\r\n" + chunk},
			Case{field + ", after an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + response("HTTP/1.0 200 OK", fields+field+"\r\n", chunk)},
		)
	}
	return cases
}

// malformedLines returns header lines that are not fields, as cases of their own.
func malformedLines() []Case {
	lines := []Case{
		{"blank in a name", "Bad Name: x\r\n"},
		{"blank before the colon", "Name : x\r\n"},
		{"blanks before the colon", "Name  : x\r\n"},
		{"blank and tab before the colon", "Name \t: x\r\n"},
		{"empty name", ": x\r\n"},
		{"no colon", "Name\r\n"},
		{"NUL in a value", "Name: a\x00b\r\n"},
		{"return in a value", "Name: a\rContent-Length: 1\r\n"},
	}
	for _, c := range "\x00\x01\x08\t\x0b\x1b\x1f\x7f\u0080(),/;<=>?@[\\]{}\"" {
		lines = append(lines, Case{fmt.Sprintf("%q in a name", c), "Bad" + string(c) + "Name: x\r\n"})
	}
	return lines
}

// Sound returns responses with status 200, the given header lines and the given body, which must have no line ends.
func Sound(fields, body string) []Case {
	sound := response(ok, fields, body)
	cases := []Case{
		{"length", sound},
		{"chunked", chunked(ok, fields, body, "")},
		{"trailers", chunked(ok, fields+"Trailer: A\r\n", body, "A: b\r\nC_d: e f\r\n")},
		{"without length", ok + "\r\n" + fields + "\r\n" + body},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + "\r\n" + body},
		{"HTTP/1.0 with a length", response("HTTP/1.0 200 OK", fields, body)},
		{"no reason", response("HTTP/1.1 200", fields, body)},
		{"empty reason", response("HTTP/1.1 200 ", fields, body)},
		{"line feeds", strings.ReplaceAll(response(ok, fields, body), "\r\n", "\n")},
		{"odd names", response(ok, fields+"!#$%&'*+-.^_`|~: x\r\n0: 1\r\nx-lower_CASE.1: y\r\n", body)},
		{"empty value", response(ok, fields+"A:\r\nB: \r\nC:\t\r\n", body)},
		{"bytes above ASCII in a value", response(ok, fields+"A: \x80\xff\u00e9\r\n", body)},
		{"blanks in a value", response(ok, fields+"A:  b \t c  \r\n", body)},
		{"folded value", response(ok, fields+"A: b\r\n c\r\n\td\r\n", body)},
	}
	for _, status := range []string{"100 Continue", "102 Processing", "103 Early Hints", "199 Unknown"} {
		interim := "HTTP/1.1 " + status + "\r\n"
		cases = append(cases,
			Case{"after " + status, interim + "\r\n" + sound},
			Case{"after " + status + " with fields", interim + fields + "Link: </a>; rel=preload\r\n\r\n" + sound},
			Case{"after " + status + " twice", interim + "\r\n" + interim + "\r\n" + sound},
		)
	}
	return cases
}
