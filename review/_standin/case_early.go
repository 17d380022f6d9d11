package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Uploads of the early case.
const (
	uploadBytes   = 200 << 10 // the longest of the site have 360,000 bytes
	pieceBytes    = 8 << 10
	pieceInterval = 10 * time.Millisecond
	uploadTimeout = 1200 * time.Millisecond
	uploadCount   = 10
)

// runEarly sends uploads, half of them with a length and half in chunks, to backends that answer before they have read
// them.
func runEarly(f *fleet, trouble bool) (int, error) {
	if trouble {
		for _, m := range f.machines {
			m.backend.setEarly()
		}
		f.rec.printf("all backends answer uploads early")
	}
	m := f.byName("sidecar-qc-est-b-2") // its own backend serves uploads
	for i := range uploadCount {
		if err := m.sendUpload(i%2 == 1); err != nil {
			return 0, err
		}
	}
	time.Sleep(uploadTimeout)
	want := uploadBody()
	violations := 0
	for _, other := range f.machines {
		other.backend.mu.Lock()
		for _, u := range other.backend.uploads {
			same := commonPrefix(u.body, want)
			f.rec.printf("%s ran %s and got %d of %d bytes, the first %d as sent, ended by: %v", u.instance, u.id, len(u.body), len(want), same, u.err)
			if same < len(u.body) {
				violations++
				f.rec.printf("  BROKEN: got %q where %q was due", u.body[same:min(len(u.body), same+24)], want[same:min(len(want), same+24)])
			}
		}
		other.backend.mu.Unlock()
	}
	return violations, nil
}

// uploadBody returns the body of all uploads: numbered lines.
func uploadBody() []byte {
	var body []byte
	for i := 0; len(body) < uploadBytes; i++ {
		body = fmt.Appendf(body, "%07d\n", i)
	}
	return body
}

func commonPrefix(a, b []byte) int {
	count := 0
	for count < min(len(a), len(b)) && a[count] == b[count] {
		count++
	}
	return count
}

// sendUpload sends an upload piece by piece on a connection of its own and reads the answer meanwhile.
func (m *machine) sendUpload(chunked bool) error {
	conn, err := net.Dial("tcp4", m.outbound)
	if err != nil {
		return err
	}
	defer conn.Close()
	id := nextID()
	framing := fmt.Sprintf("Content-Length: %d", uploadBytes)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	start := time.Now()
	if _, err := fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Ms: %d\r\nKey: %s\r\n%s\r\n\r\n",
		uploadPath, routeHost, id, uploadTimeout.Milliseconds(), remainingKey, framing); err != nil {
		return err
	}
	go sendPieces(conn, chunked)
	status, received := 0, int64(0)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		status = response.StatusCode
		received, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	m.fleet.rec.printf("upload %s (%s) to %s sent at %.3f s, status %d after %v, %d bytes of the answer, error: %v",
		id, framing, m.name, m.fleet.rec.seconds(start), status, time.Since(start).Round(time.Millisecond), received, err)
	return nil
}

// sendPieces sends the body until it is sent or the connection is closed.
func sendPieces(conn net.Conn, chunked bool) {
	body := bytes.NewBuffer(uploadBody())
	for body.Len() > 0 {
		piece := body.Next(pieceBytes)
		if chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := conn.Write(piece); err != nil {
			return
		}
		time.Sleep(pieceInterval)
	}
	if chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n") // an error means that the connection is closed
	}
}
