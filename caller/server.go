// Package caller serves the HTTP requests of callers.
//
// It validates the syntax of a request, extracts the key from it and writes the response or a refusal. All
// other decisions are left to the Handler.
package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/httpresponse"
	"github.com/cowslipglade/cowslipglade/internal/httpserver"
)

// RequestIDsPath is the URL path at which callers obtain request ids.
const RequestIDsPath = "/cowslip/request-ids"

// Limits of requests.
const (
	MaxHeaderBytes   = 32 << 10
	maxIDsPerRequest = 1000
	maxTimeout       = 10 * time.Minute
	headerTimeout    = 10 * time.Second
)

const bearerPrefix = "Bearer "

// Request is a caller's request. Header does not contain the key.
type Request struct {
	// Key is the key that the caller presented, or empty.
	Key string
	// RequestID is the id that the caller presented, or empty.
	RequestID string
	// Timeout is the timeout that the caller requested, or 0.
	Timeout       time.Duration
	Method        string
	Target        string
	Path          string
	Header        http.Header
	Body          io.Reader
	ContentLength int64
	// SetBodyDeadline, if not nil, sets the deadline for reading the rest of the body.
	SetBodyDeadline func(time.Time) error
}

// Handler serves callers. Errors should be *call.Refusal; after any other error the request counts as may have
// run.
type Handler interface {
	// HandleCaller runs one request and returns the response and the request id used.
	HandleCaller(ctx context.Context, req *Request) (response *call.Response, requestID string, err error)
	// IssueRequestIDs returns count new request ids for the workspace of key.
	IssueRequestIDs(key string, count int) ([]string, error)
}

// Server is the HTTP handler for callers. It is safe for concurrent use.
type Server struct {
	handler      Handler
	maxBodyBytes int64
}

// New returns an HTTP server for callers. It has no address yet and is not started.
func New(handler Handler, maxBodyBytes int64) *http.Server {
	s := &Server{handler: handler, maxBodyBytes: maxBodyBytes}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.POST(RequestIDsPath, s.requestIDs)
	e.RouteNotFound("/*", s.request) // unlike Any, this matches every method
	e.HTTPErrorHandler = refuseUnmatched
	return &http.Server{
		Handler:           e,
		MaxHeaderBytes:    MaxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
	}
}

// refuseUnmatched refuses requests that match no handler, such as those without a path.
func refuseUnmatched(_ error, c echo.Context) {
	r := c.Request()
	httpresponse.WriteRefusal(c.Response().Writer, call.NewRefusal(call.CodeUnknownRoute, call.NotRun, "no route for %s %s", r.Method, r.URL.Path), "")
}

func (s *Server) request(c echo.Context) error {
	r := c.Request()
	w := c.Response().Writer
	if len(r.TransferEncoding) > 0 {
		// net/http removes a Content-Length sent along with chunked encoding, so it is unknown here whether
		// there was one. Closing the connection prevents any bytes that follow from being parsed as a second
		// request (RFC 9112, section 6.1).
		w.Header().Set("Connection", "close")
	}
	req, refusal := s.parse(w, r)
	if refusal != nil {
		requestID := r.Header.Get(call.HeaderRequestID)
		if requestID != "" {
			refusal.Outcome = call.MayHaveRun // an earlier request with the same id may have run
		}
		httpresponse.WriteRefusal(w, refusal, requestID)
		return nil
	}
	response, requestID, err := s.handler.HandleCaller(r.Context(), req)
	if err != nil {
		httpresponse.WriteRefusal(w, call.AsRefusal(err), requestID)
		return nil
	}
	w.Header().Set(call.HeaderRequestID, requestID)
	httpresponse.Write(w, r, response)
	return nil
}

// parse validates the syntax of a request and removes the key from its headers.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (*Request, *call.Refusal) {
	if r.ContentLength > s.maxBodyBytes {
		return nil, call.NewRefusal(call.CodeBodyTooLarge, call.NotRun,
			"body of %d bytes is over the limit of %d", r.ContentLength, s.maxBodyBytes)
	}
	if refusal := call.CheckPath(r.URL.Path); refusal != nil {
		return nil, refusal
	}
	body := httpserver.NewBody(w, r)
	req := &Request{
		SetBodyDeadline: body.SetDeadline,

		RequestID:     r.Header.Get(call.HeaderRequestID),
		Method:        r.Method,
		Target:        r.URL.RequestURI(),
		Path:          r.URL.Path,
		Header:        http.Header{},
		ContentLength: r.ContentLength,
	}
	if r.ContentLength != 0 {
		req.Body = http.MaxBytesReader(w, body, s.maxBodyBytes)
	}
	if value := r.Header.Get(call.HeaderTimeout); value != "" {
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return nil, call.NewRefusal(call.CodeBadRequest, call.NotRun,
				"%s = %q: must be a whole number of milliseconds from 1 to %d", call.HeaderTimeout, value, maxTimeout.Milliseconds())
		}
		req.Timeout = time.Duration(ms) * time.Millisecond
	}
	key, err := bearerKey(r.Header)
	if err != nil {
		return nil, call.NewRefusal(call.CodeBadRequest, call.NotRun, "%v", err)
	}
	req.Key = key
	call.CopyHeader(req.Header, r.Header)
	delete(req.Header, "Authorization")
	return req, nil
}

var errAuthorization = errors.New("the Authorization header must be given once, as 'Bearer <key>'")

func bearerKey(h http.Header) (string, error) {
	values := h["Authorization"]
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", errAuthorization
	}
	scheme, key := values[0], ""
	if len(scheme) > len(bearerPrefix) {
		scheme, key = scheme[:len(bearerPrefix)], strings.TrimSpace(scheme[len(bearerPrefix):])
	}
	if !strings.EqualFold(scheme, bearerPrefix) || key == "" {
		return "", errAuthorization
	}
	return key, nil
}

func (s *Server) requestIDs(c echo.Context) error {
	r := c.Request()
	w := c.Response().Writer
	count := 1
	if value := c.QueryParam("count"); value != "" {
		n, err := strconv.Atoi(value)
		if err != nil || n < 1 || n > maxIDsPerRequest {
			httpresponse.WriteRefusal(w, call.NewRefusal(call.CodeBadRequest, call.NotRun,
				"count = %q: must be from 1 to %d", value, maxIDsPerRequest), "")
			return nil
		}
		count = n
	}
	key, err := bearerKey(r.Header)
	if err != nil {
		httpresponse.WriteRefusal(w, call.NewRefusal(call.CodeBadRequest, call.NotRun, "%v", err), "")
		return nil
	}
	ids, err := s.handler.IssueRequestIDs(key, count)
	if err != nil {
		httpresponse.WriteRefusal(w, call.AsRefusal(err), "")
		return nil
	}
	return c.JSON(http.StatusOK, requestIDsBody{RequestIDs: ids})
}

type requestIDsBody struct {
	RequestIDs []string `json:"request_ids"`
}
