package bench

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"

	"github.com/cowslipglade/cowslipglade/keys"
	operatorv1 "github.com/cowslipglade/cowslipglade/rpc/operator/v1"
)

// actor identifies the launcher in the audit trail.
const actor = "cowslipbench"

// DefaultQuotaFactor sets the rate of each workspace to four times its share of capacity. Quotas then
// limit only a workspace that sends far more than the others and do not mask an overload.
const DefaultQuotaFactor = 4

type tokenTransport string

// RoundTrip sends the request with the operator token.
func (t tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	authorized := r.Clone(r.Context())
	authorized.Header.Set("Authorization", "Bearer "+string(t))
	return http.DefaultTransport.RoundTrip(authorized)
}

// Operator returns a client for the operator API of a node.
func (r *RunningDeployment) Operator(vm *VM) operatorv1.Operator {
	client := &http.Client{Timeout: adminTimeout, Transport: tokenTransport(r.operatorToken)}
	return operatorv1.NewOperatorProtobufClient("http://"+vm.address(portPeer), client)
}

// configure applies the workspaces, keys and routes, and waits until every node uses them.
func (r *RunningDeployment) configure(ctx context.Context) error {
	changes := r.changes()
	operator := r.Operator(r.VMs[0])
	revision := int64(0)
	for i, change := range changes {
		change.ChangeId = fmt.Sprintf("launch-%d", i)
		change.Actor = actor
		err := poll(ctx, "configuration change "+change.ChangeId, func(ctx context.Context) error {
			response, err := operator.Apply(ctx, change) // a repeated change id returns the first result
			if err == nil {
				revision = response.GetRevision()
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	for _, vm := range r.VMs {
		if err := poll(ctx, vm.Name+" is not ready", func(ctx context.Context) error { return r.nodeReady(ctx, vm, revision) }); err != nil {
			return err
		}
	}
	return nil
}

func (r *RunningDeployment) changes() []*operatorv1.ApplyRequest {
	var changes []*operatorv1.ApplyRequest
	for _, w := range r.Deployment.Workspaces {
		quota := w.Share * r.capacity * r.options.QuotaFactor
		changes = append(changes,
			&operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_PutWorkspace{PutWorkspace: &operatorv1.Workspace{
				Name: w.Name, Rate: quota, Burst: int64(math.Ceil(quota)), Weight: 1,
			}}},
			&operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_PutKey{PutKey: &operatorv1.Key{
				Id: w.Name, Workspace: w.Name, Sha256: keys.Hash(r.Keys[w.Name]),
			}}})
	}
	importances := map[string]operatorv1.Importance{
		"critical":  operatorv1.Importance_IMPORTANCE_CRITICAL,
		"normal":    operatorv1.Importance_IMPORTANCE_NORMAL,
		"sheddable": operatorv1.Importance_IMPORTANCE_SHEDDABLE,
	}
	for _, route := range r.Deployment.Routes {
		changes = append(changes, &operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_PutRoute{PutRoute: &operatorv1.Route{
			Name:       route.Name,
			PathPrefix: route.Prefix,
			Methods:    []string{route.Method},
			Service:    route.Service,
			Importance: importances[route.Importance],
			Idempotent: route.Idempotent,
			TimeoutMs:  route.TimeoutMS,
		}}})
	}
	return changes
}

// nodeReady returns an error unless the node has the given configuration revision, knows all members
// and can serve each idempotent GET route.
func (r *RunningDeployment) nodeReady(ctx context.Context, vm *VM, revision int64) error {
	status, err := r.Operator(vm).GetStatus(ctx, &operatorv1.GetStatusRequest{})
	if err != nil {
		return err
	}
	if status.GetConfigRevision() < revision {
		return fmt.Errorf("configuration revision is %d, want at least %d", status.GetConfigRevision(), revision)
	}
	// The member list may or may not include the node itself.
	if known := len(status.GetMembers()); known < len(r.VMs)-1 {
		return fmt.Errorf("node lists %d of %d members", known, len(r.VMs))
	}
	for _, route := range r.Deployment.Routes {
		if !route.Idempotent || route.Method != http.MethodGet {
			continue
		}
		if err := r.probe(ctx, vm, route); err != nil {
			return err
		}
	}
	return nil
}

func (r *RunningDeployment) probe(ctx context.Context, vm *VM, route RouteSpec) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.address(portCaller)+route.Prefix+"ready", nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+r.Keys[r.Deployment.Workspaces[0].Name])
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 512))
		return fmt.Errorf("%s: %s: %s", route.Name, response.Status, text)
	}
	return nil
}
