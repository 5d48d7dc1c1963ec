package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"shedkeel.org/shedkeel"
)

// MaxDatagram is the size of the buffer with which a process receives a datagram, in
// bytes. A larger datagram is truncated and then has no valid tag. SealGossip does not
// limit the size.
const MaxDatagram = 4 << 10

// tagBytes is the length of the authentication tag, a truncated HMAC-SHA256.
const tagBytes = 16

// ErrForgedDatagram is returned for a datagram whose tag is missing or was not computed
// with the key.
var ErrForgedDatagram = errors.New("datagram without a valid tag: its sender has another wire.key")

// SealGossip encodes a message of the failure detector and appends an authentication
// tag. Ages are sent in whole milliseconds and at most as maxAge. There is no protection
// against replay: a replayed datagram only repeats information that was sent before.
func SealGossip(key string, message shedkeel.GossipMessage) ([]byte, error) {
	gossip := &Gossip{Kind: Gossip_Kind(message.Kind), Sequence: message.Sequence, From: string(message.From), Incarnation: message.Incarnation, Target: string(message.Target)}
	for _, update := range message.Updates {
		gossip.Updates = append(gossip.Updates, &GossipUpdate{
			Node: update.Node, Liveness: GossipUpdate_Liveness(update.Liveness), Incarnation: update.Incarnation, AgeMs: uint32(min(update.Age, maxAge).Milliseconds()),
		})
	}
	body, err := proto.Marshal(gossip)
	if err != nil {
		return nil, err
	}
	return append(body, computeTag(key, body)...), nil
}

// maxAge is the largest age of a suspicion that a message carries; a larger age is sent
// as maxAge. The age's field, 32 bits of milliseconds, overflows after 49 days.
const maxAge = 24 * time.Hour

// OpenGossip verifies the tag and decodes a datagram of SealGossip. The error is
// ErrForgedDatagram if the tag is missing or wrong, and that of the decoder if a datagram
// with a valid tag is no Gossip message. OpenGossip does not check that the values of kind
// and liveness are known.
func OpenGossip(key string, datagram []byte) (shedkeel.GossipMessage, error) {
	if len(datagram) < tagBytes {
		return shedkeel.GossipMessage{}, ErrForgedDatagram
	}
	body, receivedTag := datagram[:len(datagram)-tagBytes], datagram[len(datagram)-tagBytes:]
	if !hmac.Equal(computeTag(key, body), receivedTag) {
		return shedkeel.GossipMessage{}, ErrForgedDatagram
	}
	var gossip Gossip
	if err := proto.Unmarshal(body, &gossip); err != nil {
		return shedkeel.GossipMessage{}, err
	}
	message := shedkeel.GossipMessage{
		Kind: shedkeel.GossipKind(gossip.GetKind()), Sequence: gossip.GetSequence(), From: shedkeel.NodeID(gossip.GetFrom()),
		Incarnation: gossip.GetIncarnation(), Target: shedkeel.NodeID(gossip.GetTarget()),
	}
	for _, update := range gossip.GetUpdates() {
		message.Updates = append(message.Updates, shedkeel.GossipUpdate{
			Node: update.GetNode(), Liveness: shedkeel.Liveness(update.GetLiveness()), Incarnation: update.GetIncarnation(), Age: time.Duration(update.GetAgeMs()) * time.Millisecond,
		})
	}
	return message, nil
}

// computeTag returns the authentication tag of the text.
func computeTag(key string, text []byte) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	_, _ = mac.Write(text) // always succeeds
	return mac.Sum(nil)[:tagBytes]
}
