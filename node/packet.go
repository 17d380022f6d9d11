package node

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/cowslipglade/cowslipglade/internal/signature"
	"github.com/cowslipglade/cowslipglade/member"
	"github.com/cowslipglade/cowslipglade/peer"
)

// decodePacket verifies a UDP frame, which is a signature followed by the encoded packet.
func decodePacket(keyring *signature.Keyring, frame []byte) (*member.Packet, error) {
	if len(frame) < signature.Size {
		return nil, fmt.Errorf("%w: frame of %d bytes", peer.ErrMalformed, len(frame))
	}
	sign, data := frame[:signature.Size], frame[signature.Size:]
	if err := keyring.Verify(string(sign), packetSignatureLabel, data); err != nil {
		return nil, peer.ErrUnauthenticated
	}
	packet := new(member.Packet)
	if err := proto.Unmarshal(data, packet); err != nil {
		return nil, fmt.Errorf("%w: %w", peer.ErrMalformed, err)
	}
	return packet, nil
}
