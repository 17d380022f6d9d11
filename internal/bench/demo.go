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

// demoTimeout is the timeout of each demo request.
const demoTimeout = 10 * time.Second

// demo sends requests to a running deployment and verifies the responses.
type demo struct {
	running *RunningDeployment
	table   *tabwriter.Writer
	client  *http.Client
}

// demoRequest is a request with its expected response.
type demoRequest struct {
	label     string
	entryNode int // index in RunningDeployment.VMs
	workspace string
	method    string
	path      string
	requestID string
	status    int
	code      string // expected refusal code; empty for a success
}

// demoResponse is a received response: payload on success, refusal otherwise.
type demoResponse struct {
	status  int
	payload upstream.Response
	refusal struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	}
}

// Demo sends requests to a deployment and writes the results to out as tables. It returns an error if a
// response differs from the one that the design specifies.
func Demo(ctx context.Context, running *RunningDeployment, out io.Writer) error {
	d := &demo{
		running: running,
		table:   tabwriter.NewWriter(out, 0, 4, 2, ' ', 0),
		client:  &http.Client{Timeout: demoTimeout},
	}
	defer d.client.CloseIdleConnections()
	for _, step := range []func(context.Context) error{
		d.routedRequests, d.refusals, d.reservation, d.withdrawal, d.audit,
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

func (d *demo) requestSection(title string) {
	d.section(title, "CASE", "ENTRY NODE", "WORKSPACE", "REQUEST", "STATUS", "RESULT")
}

// send sends one request, adds a row to the table and verifies status and refusal code.
func (d *demo) send(ctx context.Context, r demoRequest) (demoResponse, error) {
	got, err := d.do(ctx, r)
	if err != nil {
		return got, fmt.Errorf("bench: demo: %s: %w", r.label, err)
	}
	result := got.refusal.Code + ", " + got.refusal.Outcome
	if got.status == http.StatusOK {
		result = fmt.Sprintf("answered by %s for %s", got.payload.Service, got.payload.Workspace)
	}
	fmt.Fprintf(d.table, "%s\t%s\t%s\t%s %s\t%d\t%s\n",
		r.label, d.running.VMs[r.entryNode].Name, r.workspace, r.method, r.path, got.status, result)
	if got.status != r.status || got.refusal.Code != r.code {
		return got, fmt.Errorf("bench: demo: %s: status %d (%s), expected %d (%s)", r.label, got.status, got.refusal.Code, r.status, r.code)
	}
	return got, nil
}

func (d *demo) do(ctx context.Context, r demoRequest) (demoResponse, error) {
	var got demoResponse
	request, err := http.NewRequestWithContext(ctx, r.method, d.running.Targets()[r.entryNode]+r.path, nil)
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
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return got, err
	}
	got.status = response.StatusCode
	if got.status == http.StatusOK {
		line, _, _ := strings.Cut(string(text), "\n")
		return got, json.Unmarshal([]byte(line), &got.payload)
	}
	return got, json.Unmarshal(text, &got.refusal)
}

// routedRequests sends requests of the idempotent routes through several entry nodes.
func (d *demo) routedRequests(ctx context.Context) error {
	d.requestSection("Requests with a key, through entry nodes of every failure domain")
	for i, vm := range d.running.VMs {
		route := d.running.Deployment.Routes[i%len(d.running.Deployment.Routes)]
		if !route.Idempotent {
			continue
		}
		workspace := d.running.Deployment.Workspaces[i%len(d.running.Deployment.Workspaces)].Name
		_, err := d.send(ctx, demoRequest{
			label: route.Name + " in " + vm.Domain, entryNode: i, workspace: workspace,
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
	d.requestSection("Refusals, each with a code and a certain outcome")
	for _, r := range []demoRequest{
		{label: "no key", entryNode: 0, method: http.MethodGet, path: "/shelfwatch/item", status: http.StatusUnauthorized, code: "missing_key"},
		{label: "no such route", entryNode: 4, workspace: workspace, method: http.MethodGet, path: "/nowhere",
			status: http.StatusNotFound, code: "unknown_route"},
		{label: "reservation without request id", entryNode: 8, workspace: workspace, method: http.MethodPost, path: "/holdbay/item",
			status: http.StatusPreconditionRequired, code: "request_id_required"},
	} {
		if _, err := d.send(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// reservation sends one reservation twice through different nodes and verifies that it ran once.
func (d *demo) reservation(ctx context.Context) error {
	workspace := d.running.Deployment.Workspaces[1].Name
	pool := &idPool{client: d.client, plan: Plan{TimeoutMS: demoTimeout.Milliseconds()}}
	ids, err := pool.fetchFrom(ctx, d.running.Targets()[1], d.running.Keys[workspace])
	if err != nil {
		return err
	}
	d.requestSection("A reservation, sent twice under one request id")
	r := demoRequest{entryNode: 1, workspace: workspace, method: http.MethodPost, path: "/holdbay/windscreen", requestID: ids[0], status: http.StatusOK}
	for i, label := range []string{"first time", "repeat through another node"} {
		r.label, r.entryNode = label, 1+i*5
		if _, err := d.send(ctx, r); err != nil {
			return err
		}
	}
	runs, err := d.running.readRunRecords()
	if err != nil {
		return err
	}
	times := runs.byRequest[ids[0]]
	fmt.Fprintf(d.table, "runs of this reservation at all upstreams together: %d\n", times)
	if times != 1 {
		return fmt.Errorf("bench: demo: reservation ran %d times, want 1", times)
	}
	return nil
}

// withdrawal withdraws a key at one node and waits until another node refuses it.
func (d *demo) withdrawal(ctx context.Context) error {
	workspaces := d.running.Deployment.Workspaces
	workspace := workspaces[len(workspaces)-1].Name
	r := demoRequest{label: "before", entryNode: 7, workspace: workspace, method: http.MethodGet, path: "/shelfwatch/item", status: http.StatusOK}
	d.requestSection("A key that is withdrawn at one node and used at another")
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
	err = poll(ctx, "withdrawn key is still accepted", func(ctx context.Context) error {
		got, err := d.do(ctx, r)
		if err == nil && got.refusal.Code != "withdrawn_key" {
			err = errors.New("request was not refused")
		}
		return err
	})
	if err != nil {
		return err
	}
	took := time.Since(begin)
	r.label, r.status, r.code = "after", http.StatusUnauthorized, "withdrawn_key"
	if _, err := d.send(ctx, r); err != nil {
		return err
	}
	fmt.Fprintf(d.table, "refused at node %s %d ms after the command was given to node %s (goal 5,000 ms)\n",
		d.running.VMs[r.entryNode].Name, took.Milliseconds(), d.running.VMs[0].Name)
	return nil
}

// demoChanges is the number of audit trail entries that the demo prints.
const demoChanges = 6

// audit prints the latest entries of the audit trail.
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
