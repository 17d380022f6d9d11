// Package caller takes callers' HTTP requests.
//
// It checks the form of a request, separates the key from it and writes the answer or a refusal. All
// decisions are the Handler's.
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
)

// RequestIDsPath is where callers obtain request ids.
const RequestIDsPath = "/cowslip/request-ids"

// Limits of requests.
const (
	MaxHeaderBytes = 32 << 10
	maxIDsPerCall  = 1000
	maxTimeout     = 10 * time.Minute
	headerTimeout  = 10 * time.Second
)

const bearerPrefix = "Bearer "

// Request is a caller's request without its key.
type Request struct {
	// Key is the presented key, or empty.
	Key string
	// RequestID is the id that the caller presented, or empty.
	RequestID string
	// Timeout is the caller's own limit, or 0.
	Timeout       time.Duration
	Method        string
	Target        string
	Path          string
	Header        http.Header
	Body          io.Reader
	ContentLength int64
	// SetBodyDeadline, if not nil, ends the wait for the rest of the body.
	SetBodyDeadline func(time.Time) error
}

// Handler serves callers. Errors should be *call.Refusal; any other error counts as may have run.
type Handler interface {
	// HandleCaller runs one request and returns the answer with the request id used.
	HandleCaller(ctx context.Context, req *Request) (answer *call.Response, requestID string, err error)
	// IssueRequestIDs returns count new request ids for the workspace of the key.
	IssueRequestIDs(key string, count int) ([]string, error)
}

// Server is the HTTP handler for callers. It is safe for concurrent use.
type Server struct {
	handler      Handler
	maxBodyBytes int64
}

// New returns an HTTP server for callers. The caller of New sets its address and serves it.
func New(handler Handler, maxBodyBytes int64) *http.Server {
	s := &Server{handler: handler, maxBodyBytes: maxBodyBytes}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.POST(RequestIDsPath, s.requestIDs)
	e.RouteNotFound("/*", s.request) // unlike Any, this takes every method
	e.HTTPErrorHandler = refuseUnrouted
	return &http.Server{
		Handler:           e,
		MaxHeaderBytes:    MaxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
	}
}

// refuseUnrouted answers requests that no handler was found for, such as those without a path.
func refuseUnrouted(_ error, c echo.Context) {
	r := c.Request()
	httpresponse.WriteRefusal(c.Response().Writer, call.NewRefusal(call.CodeUnknownRoute, call.NotRun, "no route for %s %s", r.Method, r.URL.Path), "")
}

func (s *Server) request(c echo.Context) error {
	r := c.Request()
	w := c.Response().Writer
	if len(r.TransferEncoding) > 0 {
		// net/http drops a Content-Length beside chunks, so it cannot be told here whether there was one.
		// Closing keeps what follows from being read as a second request (RFC 9112, section 6.1).
		w.Header().Set("Connection", "close")
	}
	req, refusal := s.parse(w, r)
	if refusal != nil {
		requestID := r.Header.Get(call.HeaderRequestID)
		if requestID != "" {
			refusal.Outcome = call.MayHaveRun // an earlier presentation of the id may have run
		}
		httpresponse.WriteRefusal(w, refusal, requestID)
		return nil
	}
	answer, requestID, err := s.handler.HandleCaller(r.Context(), req)
	if err != nil {
		httpresponse.WriteRefusal(w, call.AsRefusal(err), requestID)
		return nil
	}
	w.Header().Set(call.HeaderRequestID, requestID)
	httpresponse.Write(w, r.Method, answer)
	return nil
}

// parse checks the form of a request and takes the key out of its headers.
func (s *Server) parse(w http.ResponseWriter, r *http.Request) (*Request, *call.Refusal) {
	if r.ContentLength > s.maxBodyBytes {
		return nil, call.NewRefusal(call.CodeBodyTooLarge, call.NotRun,
			"body of %d bytes is over the limit of %d", r.ContentLength, s.maxBodyBytes)
	}
	if refusal := call.CheckPath(r.URL.Path); refusal != nil {
		return nil, refusal
	}
	req := &Request{
		SetBodyDeadline: func(deadline time.Time) error {
			return http.NewResponseController(w).SetReadDeadline(deadline)
		},
		RequestID:     r.Header.Get(call.HeaderRequestID),
		Method:        r.Method,
		Target:        r.URL.RequestURI(),
		Path:          r.URL.Path,
		Header:        http.Header{},
		ContentLength: r.ContentLength,
	}
	if r.ContentLength != 0 {
		req.Body = http.MaxBytesReader(w, r.Body, s.maxBodyBytes)
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
		if err != nil || n < 1 || n > maxIDsPerCall {
			httpresponse.WriteRefusal(w, call.NewRefusal(call.CodeBadRequest, call.NotRun,
				"count = %q: must be from 1 to %d", value, maxIDsPerCall), "")
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
