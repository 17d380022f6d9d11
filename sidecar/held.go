package sidecar

import (
	"bytes"
	"io"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/pipeline"
)

// maxHeldPieces bounds the pieces of call.BufferLimit bytes that are held of one response.
const maxHeldPieces = 16

// heldBody is the start of a body, held in memory in pieces that are released as they are read.
type heldBody struct {
	pipeline *pipeline.Pipeline
	pieces   []*bytes.Buffer
	bytes    int64
}

// fill reads from body and reports whether that was all of it. length is that of the whole body, or -1.
func (h *heldBody) fill(body io.Reader, length int64) (complete bool, err error) {
	for len(h.pieces) < maxHeldPieces && h.pipeline.Hold() {
		piece := &bytes.Buffer{}
		h.pieces = append(h.pieces, piece)
		piece.Grow(call.BufferLimit + bytes.MinRead)
		n, err := io.Copy(piece, io.LimitReader(body, call.BufferLimit))
		h.bytes += n
		if err != nil {
			return false, err
		}
		if n < call.BufferLimit || h.bytes == length {
			return true, nil
		}
	}
	return false, nil
}

// Read implements io.Reader.
func (h *heldBody) Read(p []byte) (int, error) {
	for len(h.pieces) > 0 {
		if n, _ := h.pieces[0].Read(p); n > 0 {
			return n, nil
		}
		h.pieces = h.pieces[1:]
		h.pipeline.Release(1)
	}
	return 0, io.EOF
}

// Close implements io.Closer.
func (h *heldBody) Close() error {
	h.pipeline.Release(len(h.pieces))
	h.pieces = nil
	return nil
}

// streams reports whether the response may break off while it is written.
func (s *entryResult) streams() bool { return s.response != nil && !s.response.Buffered }

// hold reads a streamed response into memory, so that a break becomes a refusal and the connection stays. A response that
// does not fit remains streamed.
func (s *entryResult) hold() {
	response := s.response
	if s.tooLong = s.tooLong || response.ContentLength > maxHeldPieces*call.BufferLimit; s.tooLong {
		return
	}
	held, streamed := &heldBody{pipeline: s.node.pipeline}, response.Body
	complete, err := held.fill(streamed, response.ContentLength)
	switch {
	case err != nil:
		_ = held.Close()
		_ = streamed.Close()
		s.response, s.refusal = nil, s.brokenRefusal(err)
	case complete:
		_ = streamed.Close()
		response.Body, response.ContentLength, response.Buffered = held, held.bytes, true
	default:
		s.tooLong = len(held.pieces) == maxHeldPieces
		rest := struct {
			io.Reader
			io.Closer
		}{io.MultiReader(held, streamed), streamed}
		response.Body = call.OnClose(rest, func() { _ = held.Close() })
	}
}

// brokenRefusal returns the refusal in place of a response that broke off before any of it was sent.
func (s *entryResult) brokenRefusal(err error) *call.Refusal {
	switch {
	case !time.Now().Before(s.entry.req.Deadline):
		return call.NewRefusal(call.CodeDeadline, call.MayHaveRun, "response incomplete at the deadline")
	case s.ctx.Err() != nil && s.entry.abort.Err() == nil:
		return call.NewRefusal(call.CodeCanceled, call.MayHaveRun, "client disconnected")
	}
	return call.NewRefusal(call.CodeUpstreamFailed, call.MayHaveRun, "response truncated: %v", err)
}
