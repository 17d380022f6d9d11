package upstream

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/httpresponse"
	"github.com/cowslipglade/cowslipglade/internal/httpserver"
)

// AnnouncePath is the URL path to which an upstream sends its announcement, once a second.
const AnnouncePath = "/cowslip/announce"

const (
	maxSlots             = 100_000
	maxConnections       = 1_000_000
	maxWarmUpMS          = 3_600_000
	maxAnnouncementBytes = 16 << 10
	maxHeaderBytes       = 32 << 10
	// headerTimeout closes connections on which no complete request head arrives.
	headerTimeout = 10 * time.Second
)

var servicePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Announcement is the state that an upstream reports to its node.
type Announcement struct {
	Service string `json:"service"`
	// Address is where the upstream accepts calls, as IP:port.
	Address string `json:"address"`
	// Slots is the number of calls that the upstream runs concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that the upstream accepts.
	Connections int `json:"connections"`
	// WarmUpMS is the time after its start during which the upstream is slow, in milliseconds.
	WarmUpMS int64 `json:"warm_up_ms"`
	Draining bool  `json:"draining"`
	// ConfigRevision is the highest configuration revision that the upstream has received from the node. The
	// upstream keeps it so that it survives a restart of the node.
	ConfigRevision int64 `json:"config_revision"`
}

// AnnouncementReply is the node's response to an announcement.
type AnnouncementReply struct {
	ConfigRevision int64 `json:"config_revision"`
}

// violatedRule returns the rule that the announcement violates, or an empty string.
func (a *Announcement) violatedRule() string {
	if !servicePattern.MatchString(a.Service) {
		return "service must match " + servicePattern.String()
	}
	if address, err := netip.ParseAddrPort(a.Address); err != nil || address.Port() == 0 {
		return "address must be IP:port"
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return "slots must be from 1 to 100000"
	}
	if a.Connections < 0 || a.Connections > maxConnections {
		return "connections must be from 0 to 1000000"
	}
	if a.WarmUpMS < 0 || a.WarmUpMS > maxWarmUpMS {
		return "warm_up_ms must be from 0 to 3600000"
	}
	if a.ConfigRevision < 0 {
		return "config_revision must not be negative"
	}
	return ""
}

// DownstreamCall is a call that the upstream makes to another service.
type DownstreamCall struct {
	// Token identifies the running call on whose behalf this one is made.
	Token         string
	Method        string
	Target        string
	Path          string
	Header        http.Header
	Body          io.Reader
	ContentLength int64
	// SetBodyDeadline, if not nil, sets the deadline for reading the rest of the body.
	SetBodyDeadline func(time.Time) error
}

// Handler serves the upstream on this VM. Errors should be *call.Refusal.
type Handler interface {
	Announce(announcement *Announcement) AnnouncementReply
	HandleDownstream(ctx context.Context, req *DownstreamCall) (*call.Response, error)
}

// NewServer returns the HTTP server of the local listener.
func NewServer(handler Handler) *http.Server {
	s := &server{handler: handler}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.POST(AnnouncePath, s.announce)
	e.RouteNotFound("/*", s.downstream) // unlike Any, this matches every method
	return &http.Server{Handler: e, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout}
}

type server struct {
	handler Handler
}

func (s *server) announce(c echo.Context) error {
	r := c.Request()
	r.Body = http.MaxBytesReader(c.Response().Writer, r.Body, maxAnnouncementBytes)
	var announcement Announcement
	if err := (&echo.DefaultBinder{}).BindBody(c, &announcement); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "announcement: "+err.Error())
	}
	if rule := announcement.violatedRule(); rule != "" {
		return echo.NewHTTPError(http.StatusBadRequest, "announcement: "+rule)
	}
	return c.JSON(http.StatusOK, s.handler.Announce(&announcement))
}

func (s *server) downstream(c echo.Context) error {
	r := c.Request()
	w := c.Response().Writer
	if refusal := call.CheckPath(r.URL.Path); refusal != nil {
		httpresponse.WriteRefusal(w, refusal, "")
		return nil
	}
	body := httpserver.NewBody(w, r)
	req := &DownstreamCall{
		SetBodyDeadline: body.SetDeadline,

		Token:         r.Header.Get(call.HeaderCall),
		Method:        r.Method,
		Target:        r.URL.RequestURI(),
		Path:          r.URL.Path,
		Header:        http.Header{},
		ContentLength: r.ContentLength,
	}
	if r.ContentLength != 0 {
		req.Body = body
	}
	call.CopyHeader(req.Header, r.Header)
	delete(req.Header, "Authorization")
	response, err := s.handler.HandleDownstream(r.Context(), req)
	if err != nil {
		httpresponse.WriteRefusal(w, call.AsRefusal(err), "")
		return nil
	}
	httpresponse.Write(w, r, response)
	return nil
}
