package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/internal/clock"
	"github.com/cowslipglade/cowslipglade/peer"
	"github.com/cowslipglade/cowslipglade/quarantine"
	quarantinev1 "github.com/cowslipglade/cowslipglade/rpc/quarantine/v1"
	"github.com/cowslipglade/cowslipglade/upstream"
)

const (
	// suspectPollInterval and maxSuspectWait bound how long a request suspected of crashing upstreams waits
	// for another suspect to finish.
	suspectPollInterval = 5 * time.Millisecond
	maxSuspectWait      = 500 * time.Millisecond
	// markFanout is the number of random members that new marks are pushed to.
	markFanout = 4
	// crashPushTimeout limits how long calls that failed in a crash wait for the push of the marks.
	crashPushTimeout = 250 * time.Millisecond
	// maxDirectPushes limits the upstreams of a service that get crash marks directly. Others get them
	// through other nodes.
	maxDirectPushes = 64
)

// crashDetector distinguishes a crash of the upstream from a broken connection and marks the requests
// that were in flight.
type crashDetector struct {
	node    *Node
	service string
	tracker *quarantine.Tracker

	mu sync.Mutex
	// crashes counts the detected crashes. A call that started at a lower count was in flight in a crash.
	crashes uint64
	// pushed is closed when the marks of the last crash have been pushed.
	pushed <-chan struct{}
}

func newCrashDetector(n *Node, service string) *crashDetector {
	return &crashDetector{node: n, service: service, tracker: quarantine.NewTracker(n.quarantine)}
}

// trackedCall is a call in flight at the upstream.
type trackedCall struct {
	ticket  quarantine.Ticket
	crashes uint64
}

// start registers a call. A suspect waits while another suspect runs, and a quarantined call is refused.
func (d *crashDetector) start(ctx context.Context, req *call.Request) (trackedCall, error) {
	started := d.node.now()
	for {
		tracked := trackedCall{crashes: d.count()}
		ticket, verdict := d.tracker.Start(req.Fingerprint, req.Crashes, d.node.now())
		tracked.ticket = ticket
		switch {
		case verdict.Action == quarantine.Run:
			return tracked, nil
		case verdict.Action == quarantine.Refuse:
			return tracked, quarantinedRefusal(verdict.RetryAfter)
		case d.node.now().Sub(started) > maxSuspectWait:
			tracked.ticket = d.tracker.ForceStart(req.Fingerprint)
			return tracked, nil
		}
		clock.Sleep(ctx, suspectPollInterval)
		if ctx.Err() != nil {
			return tracked, call.NewRefusal(call.CodeDeadline, call.NotRun, "deadline passed while the call was held back")
		}
	}
}

func quarantinedRefusal(retryAfter time.Duration) *call.Refusal {
	refusal := call.NewRefusal(call.CodeQuarantined, call.NotRun, "this request has crashed upstreams and is refused for %s", retryAfter.Round(time.Second))
	refusal.RetryAfter = retryAfter
	refusal.Final = true
	return refusal
}

func (d *crashDetector) count() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes
}

// finish ends a call and reports whether the upstream crashed while it ran.
func (d *crashDetector) finish(tracked trackedCall, address string, err error) bool {
	crashed := errors.Is(err, upstream.ErrConnectionLost) && d.detect(tracked, address)
	d.tracker.End(tracked.ticket, err == nil, d.node.now())
	return crashed
}

// detect reports whether a connection was lost in a crash. For the first call lost in a crash, the
// upstream refuses connections; for the others, the crash count has increased since they started. It
// returns after the marks were pushed, so that an immediate retry meets them at other upstreams.
func (d *crashDetector) detect(tracked trackedCall, address string) bool {
	pushed, crashed := d.detectCrash(tracked, address)
	if crashed {
		<-pushed
	}
	return crashed
}

func (d *crashDetector) detectCrash(tracked trackedCall, address string) (<-chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if tracked.crashes != d.crashes {
		return d.pushed, true
	}
	if upstream.Reachable(address) {
		return nil, false
	}
	d.crashes++
	id := quarantine.NewCrashID(d.node.settings.Name, d.node.incarnation+d.crashes)
	marks := d.tracker.Crash(id, d.node.now())
	d.node.log.Warn().Int("in_flight", len(marks)).Msg("upstream crashed")
	d.pushed = d.node.pushMarks(marks, d.node.membership.view.candidates(d.service))
	return d.pushed, true
}

// refuseQuarantined refuses a request before it is sent anywhere.
func (n *Node) refuseQuarantined(fingerprint uint64) error {
	standing, retryAfter := n.quarantine.Standing(fingerprint, n.now())
	if standing != quarantine.Quarantined {
		return nil
	}
	return quarantinedRefusal(retryAfter)
}

// pushMarks sends marks to the given members and to random others in the background. The channel is
// closed when all have responded or crashPushTimeout has passed.
func (n *Node) pushMarks(marks []quarantine.Mark, first []candidate) <-chan struct{} {
	done := make(chan struct{})
	if len(marks) == 0 {
		close(done)
		return done
	}
	request := &quarantinev1.PushRequest{}
	for _, mark := range marks {
		request.Marks = append(request.Marks, &quarantinev1.Mark{
			Fingerprint: mark.Fingerprint, Crash: uint64(mark.Crash), UnixMs: mark.At.UnixMilli(), Weak: mark.Weak, Cleared: mark.Cleared,
		})
	}
	targets := map[string]candidate{}
	for _, target := range append(n.membership.randomMembers(markFanout), first[:min(len(first), maxDirectPushes)]...) {
		targets[target.name] = target
	}
	delete(targets, n.settings.Name)
	var sent sync.WaitGroup
	for _, target := range targets {
		sent.Go(func() { n.pushMarksTo(target, request) })
	}
	n.tasks.Go(func() {
		sent.Wait()
		close(done)
	})
	return done
}

func (n *Node) pushMarksTo(target candidate, request *quarantinev1.PushRequest) {
	ctx, cancel := context.WithTimeout(n.background, crashPushTimeout)
	defer cancel()
	client := quarantinev1.NewQuarantineProtobufClient("http://"+target.address, n.membership.client)
	if _, err := client.Push(ctx, request); err != nil {
		n.log.Debug().Err(err).Str("peer", target.name).Msg("crash marks not pushed")
	}
}

// quarantineServer receives marks from other nodes.
type quarantineServer struct {
	node *Node
}

// Push implements quarantinev1.Quarantine. New marks are forwarded, so that they reach every node.
func (s *quarantineServer) Push(_ context.Context, req *quarantinev1.PushRequest) (*quarantinev1.PushResponse, error) {
	marks := make([]quarantine.Mark, 0, len(req.GetMarks()))
	for _, m := range req.GetMarks() {
		marks = append(marks, quarantine.Mark{
			Fingerprint: m.GetFingerprint(), Crash: quarantine.CrashID(m.GetCrash()), At: time.UnixMilli(m.GetUnixMs()),
			Weak: m.GetWeak(), Cleared: m.GetCleared(),
		})
	}
	if s.node.quarantine.Merge(marks, s.node.now()) > 0 {
		s.node.pushMarks(marks, nil)
	}
	return &quarantinev1.PushResponse{}, nil
}

func (n *Node) mountQuarantine(mux *http.ServeMux) {
	handler := quarantinev1.NewQuarantineServer(&quarantineServer{node: n})
	mux.Handle(handler.PathPrefix(), peer.RequireSignature(n.keyring, handler))
}

// fingerprint identifies a request across repeats. One whose body is not in memory is identified at its destination, when
// the body has been passed on.
func fingerprint(req *call.Request, body *call.ReplayBody) uint64 {
	if body.Buffered() {
		return requestSource(req).Fingerprint(quarantine.BodyHash(body.Data()))
	}
	return requestSource(req).Beginning(nil)
}

// requestSource returns what identifies a request beside its body.
func requestSource(req *call.Request) quarantine.Source {
	return quarantine.Source{Caller: req.Workspace, Method: req.Method, Target: req.Target}
}
