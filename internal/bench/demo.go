package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cowslipglade/cowslipglade/internal/emulator/upstream"
	operatorv1 "github.com/cowslipglade/cowslipglade/rpc/operator/v1"
)

// demoTimeout bounds one request of the demo.
const demoTimeout = 10 * time.Second

// demo shows a running deployment with real requests and checks what they return.
type demo struct {
	running *Running
	table   *tabwriter.Writer
	client  *http.Client
}

// demoRequest is a request of the demo with the answer that it must get.
type demoRequest struct {
	what      string
	entry     int // index of the entry node
	workspace string
	method    string
	path      string
	requestID string
	status    int
	code      string // of the refusal; empty for an answer
}

// demoAnswer is what came back.
type demoAnswer struct {
	status  int
	answer  upstream.Response
	refusal struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	}
}

// Demo sends requests to a deployment, writes what happened as a table and fails when an answer is
// not the one that the design promises.
func Demo(ctx context.Context, running *Running, to io.Writer) error {
	d := &demo{
		running: running,
		table:   tabwriter.NewWriter(to, 0, 4, 2, ' ', 0),
		client:  &http.Client{Timeout: demoTimeout},
	}
	defer d.client.CloseIdleConnections()
	for _, step := range []func(context.Context) error{
		d.answers, d.refusals, d.reservation, d.withdrawal, d.audit,
	} {
		if err := step(ctx); err != nil {
			return errors.Join(err, d.table.Flush())
		}
	}
	return d.table.Flush()
}

func (d *demo) section(title string, columns ...string) {
	fmt.Fprintf(d.table, "\n%s\n%s\n", title, strings.Join(columns, "\t"))
}

func (d *demo) requests(title string) {
	d.section(title, "CASE", "ENTRY NODE", "WORKSPACE", "REQUEST", "STATUS", "RESULT")
}

// send makes one request, adds a row and checks the answer.
func (d *demo) send(ctx context.Context, r demoRequest) (demoAnswer, error) {
	got, err := d.do(ctx, r)
	if err != nil {
		return got, fmt.Errorf("bench: demo: %s: %w", r.what, err)
	}
	result := got.refusal.Code + ", " + got.refusal.Outcome
	if got.status == http.StatusOK {
		result = fmt.Sprintf("answered by %s for %s", got.answer.Service, got.answer.Workspace)
	}
	fmt.Fprintf(d.table, "%s\t%s\t%s\t%s %s\t%d\t%s\n",
		r.what, d.running.VMs[r.entry].Name, r.workspace, r.method, r.path, got.status, result)
	if got.status != r.status || got.refusal.Code != r.code {
		return got, fmt.Errorf("bench: demo: %s: status %d (%s), expected %d (%s)", r.what, got.status, got.refusal.Code, r.status, r.code)
	}
	return got, nil
}

func (d *demo) do(ctx context.Context, r demoRequest) (demoAnswer, error) {
	var got demoAnswer
	request, err := http.NewRequestWithContext(ctx, r.method, d.running.Targets()[r.entry]+r.path, nil)
	if err != nil {
		return got, err
	}
	if r.workspace != "" {
		request.Header.Set("Authorization", "Bearer "+d.running.Keys[r.workspace])
	}
	if r.requestID != "" {
		request.Header.Set(upstream.HeaderRequestID, r.requestID)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return got, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerRead))
	if err != nil {
		return got, err
	}
	got.status = response.StatusCode
	if got.status == http.StatusOK {
		line, _, _ := strings.Cut(string(text), "\n")
		return got, json.Unmarshal([]byte(line), &got.answer)
	}
	return got, json.Unmarshal(text, &got.refusal)
}

// answers sends a request of each idempotent route through several entry nodes.
func (d *demo) answers(ctx context.Context) error {
	d.requests("Requests with a key, through entry nodes of every failure domain")
	for i, vm := range d.running.VMs {
		route := d.running.Deployment.Routes[i%len(d.running.Deployment.Routes)]
		if !route.Idempotent {
			continue
		}
		workspace := d.running.Deployment.Workspaces[i%len(d.running.Deployment.Workspaces)].Name
		_, err := d.send(ctx, demoRequest{
			what: route.Name + " in " + vm.Domain, entry: i, workspace: workspace,
			method: route.Method, path: route.Prefix + "item-" + strconv.Itoa(i), status: http.StatusOK,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) refusals(ctx context.Context) error {
	workspace := d.running.Deployment.Workspaces[0].Name
	d.requests("Refusals, each with a code and a certain outcome")
	for _, r := range []demoRequest{
		{what: "no key", entry: 0, method: http.MethodGet, path: "/shelfwatch/item", status: http.StatusUnauthorized, code: "missing_key"},
		{what: "no such route", entry: 4, workspace: workspace, method: http.MethodGet, path: "/nowhere",
			status: http.StatusNotFound, code: "unknown_route"},
		{what: "reservation without request id", entry: 8, workspace: workspace, method: http.MethodPost, path: "/holdbay/item",
			status: http.StatusPreconditionRequired, code: "request_id_required"},
	} {
		if _, err := d.send(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// reservation sends one reservation twice through different nodes and counts how often it ran.
func (d *demo) reservation(ctx context.Context) error {
	workspace := d.running.Deployment.Workspaces[1].Name
	pool := &idPool{client: d.client, plan: Plan{TimeoutMS: demoTimeout.Milliseconds()}}
	ids, err := pool.fetch(ctx, d.running.Targets()[1], d.running.Keys[workspace])
	if err != nil {
		return err
	}
	d.requests("A reservation, sent twice under one request id")
	r := demoRequest{entry: 1, workspace: workspace, method: http.MethodPost, path: "/holdbay/windscreen", requestID: ids[0], status: http.StatusOK}
	for i, what := range []string{"first time", "repeat through another node"} {
		r.what, r.entry = what, 1+i*5
		if _, err := d.send(ctx, r); err != nil {
			return err
		}
	}
	runs, err := d.running.readRuns()
	if err != nil {
		return err
	}
	times := runs.byRequest[ids[0]]
	fmt.Fprintf(d.table, "runs of this reservation at all upstreams together: %d\n", times)
	if times != 1 {
		return fmt.Errorf("bench: demo: the reservation ran %d times", times)
	}
	return nil
}

// withdrawal withdraws a key at one node and waits until another refuses it.
func (d *demo) withdrawal(ctx context.Context) error {
	workspaces := d.running.Deployment.Workspaces
	workspace := workspaces[len(workspaces)-1].Name
	r := demoRequest{what: "before", entry: 7, workspace: workspace, method: http.MethodGet, path: "/shelfwatch/item", status: http.StatusOK}
	d.requests("A key that is withdrawn at one node and used at another")
	if _, err := d.send(ctx, r); err != nil {
		return err
	}
	begin := time.Now()
	operator := d.running.Operator(d.running.VMs[0])
	configuration, err := operator.GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
	if err != nil {
		return err
	}
	change := &operatorv1.ApplyRequest{
		ChangeId: "demo-withdraw", Actor: actor, Change: &operatorv1.ApplyRequest_WithdrawKey{WithdrawKey: workspace},
	}
	for _, key := range configuration.GetKeys() {
		if key.GetId() == workspace {
			change.BaseRevision = key.GetRevision()
		}
	}
	if _, err := operator.Apply(ctx, change); err != nil {
		return err
	}
	err = poll(ctx, "the withdrawn key still works", func(ctx context.Context) error {
		got, err := d.do(ctx, r)
		if err == nil && got.refusal.Code != "withdrawn_key" {
			err = errors.New("not refused")
		}
		return err
	})
	if err != nil {
		return err
	}
	took := time.Since(begin)
	r.what, r.status, r.code = "after", http.StatusUnauthorized, "withdrawn_key"
	if _, err := d.send(ctx, r); err != nil {
		return err
	}
	fmt.Fprintf(d.table, "refused at node %s %d ms after the command was given to node %s (goal 5,000 ms)\n",
		d.running.VMs[r.entry].Name, took.Milliseconds(), d.running.VMs[0].Name)
	return nil
}

// demoChanges is how many changes the demo shows.
const demoChanges = 6

// audit shows the end of the audit trail.
func (d *demo) audit(ctx context.Context) error {
	response, err := d.running.Operator(d.running.VMs[2]).ListChanges(ctx, &operatorv1.ListChangesRequest{Limit: 1000})
	if err != nil {
		return err
	}
	changes := response.GetChanges()
	d.section(fmt.Sprintf("Audit trail, the last %d of %d changes", min(demoChanges, len(changes)), len(changes)),
		"REVISION", "TIME", "ACTOR", "OBJECT", "OUTCOME", "CHANGE_ID")
	for _, c := range changes[max(0, len(changes)-demoChanges):] {
		fmt.Fprintf(d.table, "%d\t%s\t%s\t%s\t%s\t%s\n", c.GetRevision(), time.UnixMilli(c.GetUnixMs()).UTC().Format(time.RFC3339),
			c.GetActor(), c.GetObject(), c.GetOutcome(), c.GetChangeId())
	}
	return nil
}
