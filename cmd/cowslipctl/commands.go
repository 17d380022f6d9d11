package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/cowslipglade/cowslipglade/keys"
	operatorv1 "github.com/cowslipglade/cowslipglade/rpc/operator/v1"
)

func addCommands(parser *flags.Parser) {
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"workspace-put", "Create or change a workspace", &workspacePut{}},
		{"workspace-delete", "Delete a workspace", &workspaceDelete{}},
		{"key-create", "Create a key for a workspace and print it once", &keyCreate{}},
		{"key-withdraw", "Withdraw a key", &keyWithdraw{}},
		{"route-put", "Create or change a route", &routePut{}},
		{"route-delete", "Delete a route", &routeDelete{}},
		{"rules-put", "Set the rules for retries, quarantine and old configurations", &rulesPut{}},
		{"config", "Show the configuration in force on a node", &configShow{}},
		{"config-check", "Check a configuration file of the sidecar before it is sent", &configCheck{}},
		{"audit", "Show the audit trail of changes", &audit{}},
		{"shard-release", "Free the quota shards of a node whose VM is certainly dead", &shardRelease{}},
		{"status", "Show a node and its peers", &status{}},
		{"drain", "Start or end draining of the upstream beside a node", &drain{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.data); err != nil {
			panic(err) // invalid command declaration
		}
	}
}

type workspacePut struct {
	changeOptions
	Rate   float64 `long:"rate" required:"true" description:"requests per second over all nodes together"`
	Burst  int64   `long:"burst" required:"true" description:"requests that may be admitted at once over all nodes together"`
	Weight float64 `long:"weight" default:"1" description:"share under contention relative to other workspaces"`
	Args   struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *workspacePut) Execute([]string) error {
	workspace := &operatorv1.Workspace{Name: c.Args.Name, Rate: c.Rate, Burst: c.Burst, Weight: c.Weight}
	return c.apply(&operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_PutWorkspace{PutWorkspace: workspace}}, workspaceRevision(c.Args.Name))
}

type workspaceDelete struct {
	changeOptions
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *workspaceDelete) Execute([]string) error {
	return c.apply(&operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_DeleteWorkspace{DeleteWorkspace: c.Args.Name}}, workspaceRevision(c.Args.Name))
}

func workspaceRevision(name string) func(*operatorv1.GetConfigurationResponse) int64 {
	return func(configuration *operatorv1.GetConfigurationResponse) int64 {
		return revisionOf(configuration.GetWorkspaces(), func(w *operatorv1.Workspace) bool { return w.GetName() == name })
	}
}

// revisionOf returns the revision of the first matching object, or 0 if there is none.
func revisionOf[T interface{ GetRevision() int64 }](objects []T, matches func(T) bool) int64 {
	if i := slices.IndexFunc(objects, matches); i >= 0 {
		return objects[i].GetRevision()
	}
	return 0
}

type keyCreate struct {
	changeOptions
	ID   string `long:"id" required:"true" description:"name of the key for later commands"`
	Args struct {
		Workspace string `positional-arg-name:"WORKSPACE"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander. The key is generated here, so that it never crosses the network.
func (c *keyCreate) Execute([]string) error {
	if c.ChangeID != "" {
		// An earlier attempt may have stored another key under this id, so the new one would not work.
		return fmt.Errorf("%w: key-create takes no --change-id; after a lost response, withdraw the key and create another", errUsage)
	}
	key := keys.Generate()
	put := &operatorv1.Key{Id: c.ID, Workspace: c.Args.Workspace, Sha256: keys.Hash(key)}
	none := func(*operatorv1.GetConfigurationResponse) int64 { return 0 }
	result, err := c.send(&operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_PutKey{PutKey: put}}, none)
	if err != nil {
		return err
	}
	result["key"] = key
	return printResult(result)
}

type keyWithdraw struct {
	changeOptions
	Args struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander. The result reports whether the platform write is pending.
func (c *keyWithdraw) Execute([]string) error {
	return c.apply(&operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_WithdrawKey{WithdrawKey: c.Args.ID}},
		func(configuration *operatorv1.GetConfigurationResponse) int64 {
			return revisionOf(configuration.GetKeys(), func(k *operatorv1.Key) bool { return k.GetId() == c.Args.ID })
		})
}

type routePut struct {
	changeOptions
	Prefix     string        `long:"prefix" required:"true" description:"path prefix"`
	Methods    []string      `long:"method" description:"method that matches, may be given several times; default is every method"`
	Service    string        `long:"service" required:"true" description:"service that handles the requests"`
	Importance string        `long:"importance" choice:"critical" choice:"normal" choice:"sheddable" default:"normal" description:"shedding class"`
	Idempotent bool          `long:"idempotent" description:"the same request may run more than once"`
	Open       bool          `long:"open" description:"no key is needed"`
	Timeout    time.Duration `long:"route-timeout" default:"10s" description:"limit for one request"`
	Args       struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true" required:"true"`
}

var importanceByName = map[string]operatorv1.Importance{
	"critical":  operatorv1.Importance_IMPORTANCE_CRITICAL,
	"normal":    operatorv1.Importance_IMPORTANCE_NORMAL,
	"sheddable": operatorv1.Importance_IMPORTANCE_SHEDDABLE,
}

// Execute implements flags.Commander.
func (c *routePut) Execute([]string) error {
	route := &operatorv1.Route{
		Name: c.Args.Name, PathPrefix: c.Prefix, Methods: c.Methods, Service: c.Service,
		Importance: importanceByName[c.Importance], Idempotent: c.Idempotent, Open: c.Open,
		TimeoutMs: c.Timeout.Milliseconds(),
	}
	return c.apply(&operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_PutRoute{PutRoute: route}}, routeRevision(c.Args.Name))
}

type routeDelete struct {
	changeOptions
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *routeDelete) Execute([]string) error {
	return c.apply(&operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_DeleteRoute{DeleteRoute: c.Args.Name}}, routeRevision(c.Args.Name))
}

func routeRevision(name string) func(*operatorv1.GetConfigurationResponse) int64 {
	return func(configuration *operatorv1.GetConfigurationResponse) int64 {
		return revisionOf(configuration.GetRoutes(), func(r *operatorv1.Route) bool { return r.GetName() == name })
	}
}

type rulesPut struct {
	changeOptions
	RetryRatio        float64       `long:"retry-ratio" default:"0.05" description:"retry tokens that each root request adds"`
	RetryLimit        int32         `long:"retry-limit" default:"1" description:"extra attempts of one request over its whole call chain"`
	QuarantineCrashes int32         `long:"quarantine-crashes" default:"2" description:"upstream crashes after which a request is refused"`
	MaxConfigAge      time.Duration `long:"max-config-age" default:"0s" description:"refuse keyed requests when the configuration is older than this; 0 means never"`
}

// Execute implements flags.Commander.
func (c *rulesPut) Execute([]string) error {
	rules := &operatorv1.Rules{
		RetryRatio: c.RetryRatio, RetryLimit: c.RetryLimit, QuarantineCrashes: c.QuarantineCrashes,
		MaxConfigAgeS: int64(c.MaxConfigAge / time.Second),
	}
	return c.apply(&operatorv1.ApplyRequest{Change: &operatorv1.ApplyRequest_PutRules{PutRules: rules}},
		func(configuration *operatorv1.GetConfigurationResponse) int64 {
			return configuration.GetRules().GetRevision()
		})
}

type configShow struct{}

// Execute implements flags.Commander.
func (c *configShow) Execute([]string) error {
	configuration, err := client().GetConfiguration(context.Background(), &operatorv1.GetConfigurationRequest{})
	if err != nil {
		return err
	}
	if global.Output == "json" {
		return printJSON(configuration)
	}
	fmt.Fprintf(stdout, "revision: %d\n\n", configuration.GetRevision())
	printTable([]string{"WORKSPACE", "RATE", "BURST", "WEIGHT", "REVISION"}, len(configuration.GetWorkspaces()), func(i int) []any {
		w := configuration.GetWorkspaces()[i]
		return []any{w.GetName(), w.GetRate(), w.GetBurst(), w.GetWeight(), w.GetRevision()}
	})
	printTable([]string{"KEY", "WORKSPACE", "WITHDRAWN", "REVISION"}, len(configuration.GetKeys()), func(i int) []any {
		k := configuration.GetKeys()[i]
		return []any{k.GetId(), k.GetWorkspace(), k.GetWithdrawn(), k.GetRevision()}
	})
	printTable([]string{"ROUTE", "PREFIX", "METHODS", "SERVICE", "IMPORTANCE", "IDEMPOTENT", "OPEN", "TIMEOUT_MS", "REVISION"},
		len(configuration.GetRoutes()), func(i int) []any {
			r := configuration.GetRoutes()[i]
			return []any{r.GetName(), r.GetPathPrefix(), strings.Join(r.GetMethods(), ","), r.GetService(),
				enumName("IMPORTANCE_", r.GetImportance().String()), r.GetIdempotent(), r.GetOpen(), r.GetTimeoutMs(), r.GetRevision()}
		})
	rules := configuration.GetRules()
	printTable([]string{"RETRY_RATIO", "RETRY_LIMIT", "QUARANTINE_CRASHES", "MAX_CONFIG_AGE_S", "REVISION"}, 1, func(int) []any {
		return []any{rules.GetRetryRatio(), rules.GetRetryLimit(), rules.GetQuarantineCrashes(), rules.GetMaxConfigAgeS(), rules.GetRevision()}
	})
	return nil
}

type audit struct {
	After int64 `long:"after" description:"show changes after this revision"`
	Limit int32 `long:"limit" default:"100" description:"number of changes"`
}

// Execute implements flags.Commander.
func (c *audit) Execute([]string) error {
	response, err := client().ListChanges(context.Background(), &operatorv1.ListChangesRequest{AfterRevision: c.After, Limit: c.Limit})
	if err != nil {
		return err
	}
	if global.Output == "json" {
		return printJSON(response)
	}
	printTable([]string{"REVISION", "TIME", "ACTOR", "BASE", "OBJECT", "OUTCOME", "CHANGE_ID", "DETAIL"}, len(response.GetChanges()), func(i int) []any {
		change := response.GetChanges()[i]
		when := time.UnixMilli(change.GetUnixMs()).UTC().Format(time.RFC3339)
		return []any{change.GetRevision(), when, change.GetActor(), change.GetBaseRevision(), change.GetObject(),
			change.GetOutcome(), change.GetChangeId(), change.GetDetail()}
	})
	return nil
}

// neverConfirmed is less than the age that a node reports while the platform has not confirmed its configuration.
const neverConfirmed = 100 * 365 * 24 * time.Hour

type status struct{}

// Execute implements flags.Commander.
func (c *status) Execute([]string) error {
	response, err := client().GetStatus(context.Background(), &operatorv1.GetStatusRequest{})
	if err != nil {
		return err
	}
	if global.Output == "json" {
		return printJSON(response)
	}
	age := "never confirmed"
	if response.GetConfigAgeS() < neverConfirmed.Seconds() {
		age = fmt.Sprintf("%.1f s", response.GetConfigAgeS())
	}
	fmt.Fprintf(stdout, "node: %s\nconfig_revision: %d\nconfig_age: %s\ndraining: %t\n\n",
		response.GetNode(), response.GetConfigRevision(), age, response.GetDraining())
	if a := response.GetAdmission(); a != nil {
		printTable([]string{"UPSTREAM", "SERVICE", "AVAILABLE", "SLOTS", "IN_FLIGHT", "LIMIT", "QUEUE_DELAY_MS", "LEAST_ADMITTED"}, 1, func(int) []any {
			return []any{a.GetUpstreamAddress(), a.GetService(), a.GetAvailable(), a.GetSlots(), a.GetInFlight(), a.GetLimit(),
				a.GetQueueDelayMs(), enumName("IMPORTANCE_", a.GetLeastAdmitted().String())}
		})
	}
	printTable([]string{"MEMBER", "FAILURE_DOMAIN", "ADDRESS", "STATE", "SERVICES", "INCARNATION"}, len(response.GetMembers()), func(i int) []any {
		m := response.GetMembers()[i]
		return []any{m.GetName(), m.GetFailureDomain(), m.GetPeerAddress(), enumName("STATE_", m.GetState()), strings.Join(m.GetServices(), ","), m.GetIncarnation()}
	})
	return nil
}

type shardRelease struct {
	Args struct {
		Node string `positional-arg-name:"NODE"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *shardRelease) Execute([]string) error {
	response, err := client().ReleaseShards(context.Background(), &operatorv1.ReleaseShardsRequest{Node: c.Args.Node, Actor: actor()})
	if err != nil {
		return err
	}
	return printResult(map[string]any{"node": c.Args.Node, "released": append([]string{}, response.GetShards()...)})
}

type drain struct {
	Undo bool `long:"undo" description:"end draining"`
}

// Execute implements flags.Commander.
func (c *drain) Execute([]string) error {
	response, err := client().Drain(context.Background(), &operatorv1.DrainRequest{Draining: !c.Undo})
	if err != nil {
		return err
	}
	return printResult(map[string]any{"draining": !c.Undo, "in_flight": response.GetInFlight()})
}
