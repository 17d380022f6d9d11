package main

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"github.com/cowslipglade/cowslipglade/internal/responsetest"
	operatorv1 "github.com/cowslipglade/cowslipglade/rpc/operator/v1"
)

// Guards against reporting a malformed response of a node as the result of a command.
func TestMalformedResponses(t *testing.T) {
	const fields = "Content-Type: application/protobuf\r\n"
	body, err := proto.Marshal(&operatorv1.ApplyResponse{Revision: 1, Pending: true})
	must.NoError(t, err)
	apply := func(t *testing.T, raw string) (*operatorv1.ApplyResponse, error) {
		t.Helper()
		client := operatorv1.NewOperatorProtobufClient("http://"+responsetest.Start(t, raw), &http.Client{Transport: tokenTransport{}})
		return client.Apply(t.Context(), &operatorv1.ApplyRequest{})
	}
	for name, group := range responsetest.Malformed {
		t.Run(name, func(t *testing.T) {
			for _, c := range group(fields, string(body)) {
				t.Run(c.Name, func(t *testing.T) {
					response, err := apply(t, c.Raw)
					must.Error(t, err, must.Sprint(response))
				})
			}
		})
	}
	for _, c := range responsetest.Sound(fields, string(body)) {
		t.Run("sound/"+c.Name, func(t *testing.T) {
			response, err := apply(t, c.Raw)
			must.NoError(t, err)
			must.Eq(t, 1, response.Revision)
		})
	}
}
