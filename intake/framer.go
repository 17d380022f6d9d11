package intake

import (
	"bytes"
	"strconv"
)

// Head describes the header of a request.
type Head struct {
	// Bytes and Fields are the size of the header with the request line.
	Bytes, Fields int
	// Length is the declared length of the body, or -1 if it is chunked.
	Length int64
	// Uncertain means that the end of the request is not known, so that the connection must be closed after it.
	Uncertain bool
}

// Sink receives what a Framer finds.
type Sink interface {
	// HeaderPart is called for the bytes of a header and the lines that end in them.
	HeaderPart(bytes, lines int)
	HeaderEnd(Head)
	BodyPart(bytes int)
	// RequestEnd is called at the end of the body, or of the header if there is none.
	RequestEnd()
}

type framerState int

const (
	inHeader framerState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	// inUnknown follows what net/http refuses, or what net/http might take for something else. All of it counts as header.
	inUnknown
)

// maxLineKept is the length of the start of a line that is kept. Lines that frame a body are shorter.
const maxLineKept = 128

// Framer finds the headers and bodies of requests in the bytes of a connection, without changing them, and before they are
// parsed. It follows what net/http accepts.
type Framer struct {
	state framerState
	head  Head
	// start and end hold the first and the last bytes of the current line; length is its length.
	start  []byte
	end    [len("HTTP/1.0\r\n")]byte
	length int
	// remaining is the number of bytes left of a body or chunk.
	remaining int64
	http10    bool
	// framing is the name of the last field if it frames the body; values are the fields found.
	framing                 string
	contentLength, encoding string
}

// Feed passes the bytes that were read to the sink.
func (f *Framer) Feed(p []byte, sink Sink) {
	for len(p) > 0 {
		switch f.state {
		case inBody, inChunk:
			n := int(min(int64(len(p)), f.remaining))
			f.remaining -= int64(n)
			sink.BodyPart(n)
			p = p[n:]
			switch {
			case f.remaining > 0:
			case f.state == inBody:
				f.endRequest(sink)
			default:
				f.state = inChunkEnd
			}
		case inUnknown:
			sink.HeaderPart(len(p), bytes.Count(p, []byte{'\n'}))
			return
		default:
			p = f.feedLine(p, sink)
		}
	}
}

// Between reports whether no part of a further request has arrived.
func (f *Framer) Between() bool { return f.state == inHeader && f.head.Bytes == 0 }

// InHeader reports whether a header is incomplete.
func (f *Framer) InHeader() bool {
	return f.state == inHeader && f.head.Bytes > 0 || f.state == inUnknown
}

func (f *Framer) feedLine(p []byte, sink Sink) (rest []byte) {
	i := bytes.IndexByte(p, '\n')
	part := p[:i+1]
	if i < 0 {
		part = p
	}
	f.keep(part)
	if f.state == inHeader {
		f.head.Bytes += len(part)
	}
	if f.state == inHeader || f.state == inTrailer {
		lines := 0
		if i >= 0 {
			lines = 1
		}
		sink.HeaderPart(len(part), lines)
	} else {
		sink.BodyPart(len(part))
	}
	if i >= 0 {
		f.endLine(sink)
		f.start, f.length = f.start[:0], 0
	}
	return p[len(part):]
}

func (f *Framer) keep(part []byte) {
	if room := maxLineKept - len(f.start); room > 0 {
		f.start = append(f.start, part[:min(room, len(part))]...)
	}
	if len(part) >= len(f.end) {
		copy(f.end[:], part[len(part)-len(f.end):])
	} else {
		copy(f.end[:], f.end[len(part):])
		copy(f.end[len(f.end)-len(part):], part)
	}
	f.length += len(part)
}

func (f *Framer) endLine(sink Sink) {
	line := bytes.TrimRight(f.start, "\r\n")
	empty := f.length <= len("\r\n") && len(line) == 0
	switch f.state {
	case inHeader:
		switch {
		case f.head.Bytes == f.length: // the request line
			f.http10 = bytes.Contains(f.end[:], []byte("HTTP/1.0"))
			if empty {
				f.head = Head{} // net/http skips it after a POST and refuses it otherwise
			}
		case empty:
			f.endHeader(sink)
		default:
			f.head.Fields++
			f.readField(line)
		}
	case inChunkSize:
		size, _, _ := bytes.Cut(line, []byte{';'})
		n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 62)
		switch {
		case err != nil:
			f.state = inUnknown
		case n == 0:
			f.state = inTrailer
		default:
			f.state, f.remaining = inChunk, int64(n)
		}
	case inChunkEnd:
		f.state = inChunkSize
		if !empty {
			f.state = inUnknown
		}
	case inTrailer:
		if empty {
			f.endRequest(sink)
		}
	}
}

// readField records the fields that frame a body.
func (f *Framer) readField(line []byte) {
	if line = bytes.TrimRight(line, " \t"); len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		f.head.Uncertain = f.head.Uncertain || f.framing != "" // continues the previous field
		return
	}
	f.framing = ""
	name, value, _ := bytes.Cut(line, []byte{':'})
	field := &f.contentLength
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.framing = "Content-Length"
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.framing, field = "Transfer-Encoding", &f.encoding
	default:
		return
	}
	text := string(bytes.Trim(value, " \t"))
	if text == "" || *field != "" && *field != text || f.length > maxLineKept {
		f.head.Uncertain = true
	}
	*field = text
}

func (f *Framer) endHeader(sink Sink) {
	f.framing = ""
	switch {
	case f.encoding != "" && !f.http10:
		f.head.Length = -1
		f.head.Uncertain = f.head.Uncertain || !bytes.EqualFold([]byte(f.encoding), []byte("chunked"))
	case f.contentLength != "":
		n, err := strconv.ParseUint(f.contentLength, 10, 63)
		f.head.Length = int64(n)
		f.head.Uncertain = f.head.Uncertain || err != nil
	}
	head := f.head
	sink.HeaderEnd(head)
	switch {
	case head.Uncertain:
		f.state = inUnknown
	case head.Length < 0:
		f.state = inChunkSize
	case head.Length > 0:
		f.state, f.remaining = inBody, head.Length
	default:
		f.endRequest(sink)
	}
}

func (f *Framer) endRequest(sink Sink) {
	sink.RequestEnd()
	f.state, f.head, f.contentLength, f.encoding, f.framing = inHeader, Head{}, "", "", ""
}
