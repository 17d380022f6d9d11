// Command cowslipctl is the command-line tool for operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/twitchtv/twirp"

	"github.com/cowslipglade/cowslipglade/internal/httpconn"
	operatorv1 "github.com/cowslipglade/cowslipglade/rpc/operator/v1"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitBadUsage    = 2
	exitConflict    = 3
	exitUnavailable = 4
)

// globalOptions are the options of every command.
type globalOptions struct {
	Node    string        `long:"node" env:"COWSLIP_NODE" default:"127.0.0.1:7400" description:"peer address of a node (IP:port)"`
	Token   string        `long:"token" env:"COWSLIP_TOKEN" description:"operator token"`
	Actor   string        `long:"actor" env:"COWSLIP_ACTOR" description:"name for the audit trail; default is the user name"`
	Output  string        `long:"output" short:"o" choice:"table" choice:"json" default:"table" description:"output format"`
	Timeout time.Duration `long:"timeout" default:"10s" description:"limit for one call"`
}

// Set by run, because the parser calls the commands without them.
var (
	global globalOptions
	stdout io.Writer
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command and returns the exit code. It is not safe for concurrent use.
func run(args []string, out, diagnostics io.Writer) int {
	global, stdout = globalOptions{}, out
	parser := flags.NewParser(&global, flags.Default&^flags.PrintErrors)
	addCommands(parser)
	_, err := parser.ParseArgs(args)
	if err == nil {
		return exitOK
	}
	if flags.WroteHelp(err) {
		fmt.Fprintln(out, err)
		return exitOK
	}
	fmt.Fprintln(diagnostics, "cowslipctl:", message(err))
	return exitCode(err)
}

// errUsage means that the arguments are invalid in combination.
var errUsage = errors.New("bad usage")

func exitCode(err error) int {
	var flagsError *flags.Error
	if errors.As(err, &flagsError) || errors.Is(err, errUsage) {
		return exitBadUsage
	}
	var twirpError twirp.Error
	if !errors.As(err, &twirpError) {
		return exitFailed
	}
	switch twirpError.Code() {
	case twirp.InvalidArgument:
		return exitBadUsage
	case twirp.FailedPrecondition:
		return exitConflict
	case twirp.Unavailable, twirp.DeadlineExceeded:
		return exitUnavailable
	}
	var unreachable *url.Error
	if errors.As(err, &unreachable) {
		return exitUnavailable
	}
	return exitFailed
}

func message(err error) string {
	var twirpError twirp.Error
	if !errors.As(err, &twirpError) {
		return err.Error()
	}
	var unreachable *url.Error
	if errors.As(err, &unreachable) {
		return fmt.Sprintf("node %s cannot be reached: %v", global.Node, unreachable.Err)
	}
	// The text before the twirp error has the change id, which is needed for a retry.
	return strings.Replace(err.Error(), twirpError.Error(), twirpError.Msg(), 1)
}

func client() operatorv1.Operator {
	return operatorv1.NewOperatorProtobufClient("http://"+global.Node, &http.Client{
		Timeout:   global.Timeout,
		Transport: tokenTransport{},
	})
}

var transport = httpconn.StrictTransport{Transport: http.DefaultTransport.(*http.Transport)}

type tokenTransport struct{}

// RoundTrip implements http.RoundTripper.
func (tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	authorized := r.Clone(r.Context())
	authorized.Header.Set("Authorization", "Bearer "+global.Token)
	return transport.RoundTrip(authorized)
}

// actor returns the name for the audit trail.
func actor() string {
	if global.Actor != "" {
		return global.Actor
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// changeAttempts limits the attempts to send a change under the same id when responses are lost.
const changeAttempts = 3

// changeOptions are shared by all commands that change the configuration.
type changeOptions struct {
	ChangeID string `long:"change-id" description:"id of the change; use the same id to retry after a lost response"`
	Base     int64  `long:"base" default:"-1" description:"revision of the object that the change is based on; default is its current revision"`
}

// apply sends a change and prints its result. current returns the revision of the changed object in a
// configuration.
func (o *changeOptions) apply(req *operatorv1.ApplyRequest, current func(*operatorv1.GetConfigurationResponse) int64) error {
	result, err := o.send(req, current)
	if err != nil {
		return err
	}
	return printResult(result)
}

// send sends a change and returns the values to print.
func (o *changeOptions) send(req *operatorv1.ApplyRequest, current func(*operatorv1.GetConfigurationResponse) int64) (map[string]any, error) {
	ctx := context.Background()
	req.Actor = actor()
	req.ChangeId = o.ChangeID
	if req.ChangeId == "" {
		req.ChangeId = uuid.NewString()
	}
	req.BaseRevision = o.Base
	if o.Base < 0 {
		configuration, err := client().GetConfiguration(ctx, &operatorv1.GetConfigurationRequest{})
		if err != nil {
			return nil, err
		}
		req.BaseRevision = current(configuration)
	}
	response, err := sendChange(ctx, req)
	if err != nil {
		return nil, fmt.Errorf("change %s: %w", req.ChangeId, err)
	}
	result := map[string]any{"change_id": req.ChangeId, "revision": response.GetRevision()}
	if req.GetWithdrawKey() != "" {
		result["pending"] = response.GetPending()
	}
	return result, nil
}

func sendChange(ctx context.Context, req *operatorv1.ApplyRequest) (*operatorv1.ApplyResponse, error) {
	var err error
	for range changeAttempts {
		var response *operatorv1.ApplyResponse
		response, err = client().Apply(ctx, req)
		if err == nil {
			return response, nil
		}
		if exitCode(err) != exitUnavailable {
			return nil, err
		}
	}
	return nil, err
}
