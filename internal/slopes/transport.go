package slopes

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cowslipglade/cowslipglade/internal/signature"
	"github.com/cowslipglade/cowslipglade/peer"
	"github.com/cowslipglade/cowslipglade/ratelimit"
	quotav1 "github.com/cowslipglade/cowslipglade/rpc/quota/v1"
)

type quotaServer struct{ quotav1.Quota }

func grantMessages() (*quotav1.GrantRequest, *quotav1.GrantResponse) {
	w := workspaceName(7)
	return ratelimit.EncodeRequest(ratelimit.Request{
			Node: nodeName(1), Incarnation: incarnationOf(1), Shard: ratelimit.ShardID{Domain: "zone-0", Number: 2},
			Sequence: 4711, Accepted: 4710,
			Asks:    []ratelimit.Ask{{Workspace: w, Need: 1, Prefetch: 8}},
			Reports: []ratelimit.Report{{Workspace: w, Sequence: 4709, Spent: 8, Age: 120 * time.Millisecond, Closed: true}},
		}), ratelimit.EncodeResponse(ratelimit.Response{
			Sequence: 4711, Grants: []ratelimit.Grant{{Workspace: w, Tokens: 9, Free: 1234.5}},
		})
}

// Grant implements quotav1.Quota.
func (quotaServer) Grant(context.Context, *quotav1.GrantRequest) (*quotav1.GrantResponse, error) {
	_, response := grantMessages()
	return response, nil
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &l.bytes}, nil
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// measureTransport measures a signed Grant call over twirp and HTTP/1.1 on a persistent loopback connection.
func measureTransport(r *recorder) error {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	listener := &countingListener{Listener: tcpListener}
	keyring := signature.NewKeyring([]string{"secret"})
	handler := quotav1.NewQuotaServer(quotaServer{})
	server := &http.Server{Handler: peer.RequireSignature(keyring, handler), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()

	httpClient := peer.NewControlClient(netip.MustParseAddr("127.0.0.1"), keyring)
	defer httpClient.CloseIdleConnections()
	client := quotav1.NewQuotaProtobufClient("http://"+tcpListener.Addr().String(), httpClient)
	request, response := grantMessages()
	const calls = 2000
	ns := cpuPerOperation(calls, func(int) {
		if err == nil {
			_, err = client.Grant(context.Background(), request)
		}
	})
	if err != nil {
		return err
	}
	payload := proto.Size(request) + proto.Size(response)
	r.add("protobuf of a grant request and its answer", "bytes", "one ask, one report", 0, float64(payload))
	r.add("HTTP/1.1 of a grant request and its answer", "bytes", "without protobuf and TCP/IP headers", 0, float64(listener.bytes.Load())/calls-float64(payload))
	r.add("processor time of a twirp call, both sides", "ns", "kept connection", 0, ns)
	return measureDatagrams(r, keyring, request, response)
}

// measureDatagrams measures the same exchange as signed UDP datagrams on loopback. Each side has one socket,
// and a 32-byte signature precedes the protobuf message.
func measureDatagrams(r *recorder, keyring *signature.Keyring, request, response proto.Message) error {
	address := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}
	clientConn, err := net.ListenUDP("udp", address)
	if err != nil {
		return err
	}
	defer clientConn.Close()
	serverConn, err := net.ListenUDP("udp", address)
	if err != nil {
		return err
	}
	defer serverConn.Close()
	buffer := make([]byte, 2048)
	send := func(from, to *net.UDPConn, message proto.Message) {
		var data []byte
		if data, err = proto.Marshal(message); err != nil {
			return
		}
		mac := keyring.Sign([]byte("grant"), data)
		if _, err = from.WriteTo(append([]byte(mac), data...), to.LocalAddr()); err != nil {
			return
		}
		if err = to.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			return
		}
		var n int
		if n, _, err = to.ReadFrom(buffer); err != nil {
			return
		}
		if err = keyring.Verify(string(buffer[:len(mac)]), []byte("grant"), buffer[len(mac):n]); err == nil {
			err = proto.Unmarshal(buffer[len(mac):n], message.ProtoReflect().New().Interface())
		}
	}
	ns := cpuPerOperation(2000, func(int) {
		if err == nil {
			send(clientConn, serverConn, request)
		}
		if err == nil {
			send(serverConn, clientConn, response)
		}
	})
	r.add("processor time of an exchange of signed datagrams, both sides", "ns", "trial, not the product", 0, ns)
	return err
}
