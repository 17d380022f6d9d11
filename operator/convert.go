package operator

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/cowslipglade/cowslipglade/call"
	"github.com/cowslipglade/cowslipglade/config"
	operatorv1 "github.com/cowslipglade/cowslipglade/rpc/operator/v1"
)

// changeFromRequest converts req into a change. It uses document to look up the hash of a key that is
// withdrawn by its id.
func changeFromRequest(req *operatorv1.ApplyRequest, document *config.Document) (config.Change, error) {
	change := config.Change{
		ID:           req.GetChangeId(),
		Actor:        req.GetActor(),
		UnixMS:       unixMS(),
		BaseRevision: req.GetBaseRevision(),
	}
	switch c := req.GetChange().(type) {
	case *operatorv1.ApplyRequest_PutWorkspace:
		change.Kind, change.Workspace = config.PutWorkspace, workspaceFromProto(c.PutWorkspace)
	case *operatorv1.ApplyRequest_DeleteWorkspace:
		change.Kind, change.Object = config.DeleteWorkspace, c.DeleteWorkspace
	case *operatorv1.ApplyRequest_PutKey:
		change.Kind = config.PutKey
		change.Key = &config.Key{ID: c.PutKey.GetId(), Workspace: c.PutKey.GetWorkspace(), SHA256: c.PutKey.GetSha256()}
	case *operatorv1.ApplyRequest_WithdrawKey:
		key, ok := document.KeyByID(c.WithdrawKey)
		if !ok {
			return change, twirp.NotFoundError("no key has the id " + c.WithdrawKey)
		}
		change.Kind, change.Object = config.WithdrawKey, key.SHA256
	case *operatorv1.ApplyRequest_PutRoute:
		route, err := routeFromProto(c.PutRoute)
		if err != nil {
			return change, err
		}
		change.Kind, change.Route = config.PutRoute, route
	case *operatorv1.ApplyRequest_DeleteRoute:
		change.Kind, change.Object = config.DeleteRoute, c.DeleteRoute
	case *operatorv1.ApplyRequest_PutRules:
		change.Kind, change.Rules = config.PutRules, rulesFromProto(c.PutRules)
	default:
		return change, twirp.RequiredArgumentError("change")
	}
	return change, nil
}

func workspaceFromProto(w *operatorv1.Workspace) *config.Workspace {
	weight := w.GetWeight()
	if weight == 0 {
		weight = 1
	}
	return &config.Workspace{Name: w.GetName(), Rate: w.GetRate(), Burst: w.GetBurst(), Weight: weight}
}

func routeFromProto(r *operatorv1.Route) (*config.Route, error) {
	importance := call.Normal
	switch r.GetImportance() {
	case operatorv1.Importance_IMPORTANCE_UNSPECIFIED, operatorv1.Importance_IMPORTANCE_NORMAL:
	case operatorv1.Importance_IMPORTANCE_CRITICAL:
		importance = call.Critical
	case operatorv1.Importance_IMPORTANCE_SHEDDABLE:
		importance = call.Sheddable
	default:
		return nil, twirp.InvalidArgumentError("importance", "is not known")
	}
	return &config.Route{
		Name:       r.GetName(),
		PathPrefix: r.GetPathPrefix(),
		Methods:    r.GetMethods(),
		Service:    r.GetService(),
		Importance: importance,
		Idempotent: r.GetIdempotent(),
		Open:       r.GetOpen(),
		Timeout:    time.Duration(r.GetTimeoutMs()) * time.Millisecond,
	}, nil
}

func rulesFromProto(r *operatorv1.Rules) *config.Rules {
	return &config.Rules{
		RetryRatio:        r.GetRetryRatio(),
		RetryLimit:        int(r.GetRetryLimit()),
		QuarantineCrashes: int(r.GetQuarantineCrashes()),
		MaxConfigAge:      time.Duration(r.GetMaxConfigAgeS()) * time.Second,
	}
}

// Importance returns the schema value of an importance class.
func Importance(i call.Importance) operatorv1.Importance { return importanceToProto[i] }

var importanceToProto = [call.ImportanceCount]operatorv1.Importance{
	call.Critical:  operatorv1.Importance_IMPORTANCE_CRITICAL,
	call.Normal:    operatorv1.Importance_IMPORTANCE_NORMAL,
	call.Sheddable: operatorv1.Importance_IMPORTANCE_SHEDDABLE,
}

func documentToResponse(d *config.Document) *operatorv1.GetConfigurationResponse {
	response := &operatorv1.GetConfigurationResponse{
		Revision: d.Revision,
		Rules: &operatorv1.Rules{
			RetryRatio:        d.Rules.RetryRatio,
			RetryLimit:        int32(d.Rules.RetryLimit),
			QuarantineCrashes: int32(d.Rules.QuarantineCrashes),
			MaxConfigAgeS:     int64(d.Rules.MaxConfigAge / time.Second),
			Revision:          d.Rules.Revision,
		},
	}
	for _, name := range slices.Sorted(maps.Keys(d.Workspaces)) {
		w := d.Workspaces[name]
		response.Workspaces = append(response.Workspaces, &operatorv1.Workspace{
			Name: w.Name, Rate: w.Rate, Burst: w.Burst, Weight: w.Weight, Revision: w.Revision,
		})
	}
	for _, key := range d.Keys {
		response.Keys = append(response.Keys, &operatorv1.Key{
			Id: key.ID, Workspace: key.Workspace, Sha256: key.SHA256, Withdrawn: key.Withdrawn, Revision: key.Revision,
		})
	}
	slices.SortFunc(response.Keys, func(a, b *operatorv1.Key) int {
		if a.GetId() < b.GetId() {
			return -1
		}
		return 1
	})
	for _, name := range slices.Sorted(maps.Keys(d.Routes)) {
		r := d.Routes[name]
		response.Routes = append(response.Routes, &operatorv1.Route{
			Name: r.Name, PathPrefix: r.PathPrefix, Methods: r.Methods, Service: r.Service,
			Importance: importanceToProto[r.Importance], Idempotent: r.Idempotent, Open: r.Open,
			TimeoutMs: r.Timeout.Milliseconds(), Revision: r.Revision,
		})
	}
	return response
}

func changeToResponse(c *config.CommittedChange) *operatorv1.Change {
	var object any
	switch {
	case c.Workspace != nil:
		object = c.Workspace
	case c.Key != nil:
		object = c.Key
	case c.Route != nil:
		object = c.Route
	case c.Rules != nil:
		object = c.Rules
	default:
		object = c.Object
	}
	detail, err := json.Marshal(object)
	if err != nil {
		detail = []byte(err.Error())
	}
	return &operatorv1.Change{
		Revision:     c.Revision,
		ChangeId:     c.ID,
		Actor:        c.Actor,
		UnixMs:       c.UnixMS,
		BaseRevision: c.BaseRevision,
		Object:       c.ObjectName(),
		Detail:       string(c.Kind) + " " + string(detail),
		Outcome:      "committed",
	}
}
