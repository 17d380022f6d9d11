package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cowslipglade/cowslipglade/call"
)

// recorder is a Handler that records the announcements it receives.
type recorder struct{ announced []*Announcement }

func (r *recorder) Announce(a *Announcement) AnnouncementReply {
	r.announced = append(r.announced, a)
	return AnnouncementReply{}
}

func (*recorder) HandleDownstream(context.Context, *DownstreamCall) (*call.Response, error) {
	return nil, call.NewRefusal(call.CodeInternal, call.NotRun, "not used")
}

// Guards against passing an invalid announcement to the node, whatever an upstream sends.
func FuzzAnnouncement(f *testing.F) {
	f.Add("application/json", `{"service":"stock","address":"127.0.0.1:80","slots":3,"connections":9,"warm_up_ms":5,"config_revision":1}`)
	f.Add("application/json", `{"slots":1e99}`)
	f.Add("application/xml", "<a/>")
	f.Add("application/x-www-form-urlencoded", "service=stock")
	f.Fuzz(func(t *testing.T, contentType, body string) {
		handler := &recorder{}
		request := httptest.NewRequest(http.MethodPost, AnnouncePath, strings.NewReader(body))
		request.Header.Set("Content-Type", contentType)
		response := httptest.NewRecorder()
		NewServer(handler).Handler.ServeHTTP(response, request)
		must.Eq(t, response.Code == http.StatusOK, len(handler.announced) == 1)
		if response.Code != http.StatusOK {
			must.Eq(t, http.StatusBadRequest, response.Code)
			return
		}
		a := handler.announced[0]
		address, err := netip.ParseAddrPort(a.Address)
		must.NoError(t, err)
		must.Positive(t, address.Port())
		must.Positive(t, a.Slots)
		must.True(t, a.Connections >= 0 && a.WarmUpMS >= 0 && a.ConfigRevision >= 0)
	})
}
