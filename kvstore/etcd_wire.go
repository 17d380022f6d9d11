package kvstore

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

// The types below are the gateway's JSON messages, with only the fields that this package uses. Byte
// strings are base64 and 64-bit integers are decimal strings; fields with the zero value are absent.

// int64String is a 64-bit integer in the JSON mapping of Protocol Buffers: encoded as a string, decoded
// from a string or a number.
type int64String int64

// MarshalJSON returns the decimal form in quotes.
func (n int64String) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(n), 10)), nil
}

// UnmarshalJSON accepts a decimal integer with or without quotes, and null as 0.
func (n *int64String) UnmarshalJSON(text []byte) error {
	if bytes.Equal(text, []byte("null")) {
		*n = 0
		return nil
	}
	if len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"' {
		text = text[1 : len(text)-1]
	}
	value, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return fmt.Errorf("not a 64-bit integer: %q", text)
	}
	*n = int64String(value)
	return nil
}

type responseHeader struct {
	Revision int64String `json:"revision"`
}

type keyValue struct {
	Key         []byte      `json:"key"`
	Value       []byte      `json:"value"`
	ModRevision int64String `json:"mod_revision"`
}

func (kv keyValue) entry(deleted bool) Entry {
	return Entry{Key: string(kv.Key), Value: kv.Value, Revision: int64(kv.ModRevision), Deleted: deleted}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header responseHeader `json:"header"`
	Kvs    []keyValue     `json:"kvs"`
	More   bool           `json:"more"`
}

type compare struct {
	Result      string      `json:"result"`
	Target      string      `json:"target"`
	Key         []byte      `json:"key"`
	ModRevision int64String `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte      `json:"key"`
	Value []byte      `json:"value"`
	Lease int64String `json:"lease"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type operation struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
}

type txnResponse struct {
	Header    responseHeader `json:"header"`
	Succeeded bool           `json:"succeeded"`
}

type leaseGrantRequest struct {
	TTL int64String `json:"TTL"`
}

type leaseRequest struct {
	ID int64String `json:"ID"`
}

type leaseResponse struct {
	ID    int64String `json:"ID"`
	TTL   int64String `json:"TTL"`
	Error string      `json:"error"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
	Error  *gatewayError `json:"error"`
}

type watchCreate struct {
	Key           []byte      `json:"key"`
	RangeEnd      []byte      `json:"range_end"`
	StartRevision int64String `json:"start_revision"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type"` // absent means PUT
	KV   keyValue `json:"kv"`
}

type watchResult struct {
	Created         bool         `json:"created"`
	Canceled        bool         `json:"canceled"`
	CancelReason    string       `json:"cancel_reason"`
	CompactRevision int64String  `json:"compact_revision"`
	Events          []watchEvent `json:"events"`
}

type watchResponse struct {
	Result watchResult   `json:"result"`
	Error  *gatewayError `json:"error"`
}

// gRPC status codes in error responses of the gateway.
const (
	grpcNotFound          = 5
	grpcResourceExhausted = 8
	grpcOutOfRange        = 11
)

// gatewayError is the body of an error response, or the error member of a streamed response.
type gatewayError struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
	// Status is the HTTP status of the response; 0 on streams.
	Status int `json:"-"`
}

// toError maps g to an error of this package, which is uncertain if the call may have taken effect.
func (g *gatewayError) toError(uncertain error) error {
	return fmt.Errorf("%w: status %d, code %d: %.200s", g.kind(uncertain), g.Status, g.Code, g.Message)
}

func (g *gatewayError) kind(uncertain error) error {
	switch g.Code {
	case grpcNotFound: // returned only by calls that refer to a lease
		return ErrLeaseExpired
	case grpcOutOfRange:
		return ErrCompacted
	case grpcResourceExhausted:
		return ErrUnavailable
	}
	switch g.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return ErrUnavailable
	}
	return uncertain
}

// rangeStart returns the first key of a prefix; the gateway represents the empty key as a zero byte.
func rangeStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}

// prefixEnd returns the first key after all keys with the prefix; a zero byte means no end.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
