package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"shedkeel.org/shedkeel"
)

// MaxDatagram is the largest datagram that is read, in bytes.
const MaxDatagram = 4 << 10

// tagBytes is the length of the tag that proves that a sender has the key.
const tagBytes = 16

// ErrForgedDatagram says that a datagram's sender does not have the key.
var ErrForgedDatagram = errors.New("datagram without a valid tag: its sender has another wire.key")

// SealGossip encodes a message between failure detectors, with a tag that proves
// that the sender has the key. A datagram may be played back: what it says is then
// as old as it was.
func SealGossip(key string, message shedkeel.GossipMessage) ([]byte, error) {
	gossip := &Gossip{Kind: Gossip_Kind(message.Kind), Sequence: message.Sequence, From: string(message.From), Incarnation: message.Incarnation, Target: string(message.Target)}
	for _, update := range message.Updates {
		gossip.Updates = append(gossip.Updates, &GossipUpdate{
			Node: update.Node, Liveness: GossipUpdate_Liveness(update.Liveness), Incarnation: update.Incarnation, AgeMs: uint32(min(update.Age, maxAge).Milliseconds()),
		})
	}
	text, err := proto.Marshal(gossip)
	if err != nil {
		return nil, err
	}
	return append(text, tag(key, text)...), nil
}

// maxAge is the longest age of a suspicion that is told.
const maxAge = 24 * time.Hour

// OpenGossip decodes what SealGossip made.
func OpenGossip(key string, datagram []byte) (shedkeel.GossipMessage, error) {
	if len(datagram) < tagBytes {
		return shedkeel.GossipMessage{}, ErrForgedDatagram
	}
	text, sent := datagram[:len(datagram)-tagBytes], datagram[len(datagram)-tagBytes:]
	if !hmac.Equal(tag(key, text), sent) {
		return shedkeel.GossipMessage{}, ErrForgedDatagram
	}
	var gossip Gossip
	if err := proto.Unmarshal(text, &gossip); err != nil {
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

func tag(key string, text []byte) []byte {
	made := hmac.New(sha256.New, []byte(key))
	_, _ = made.Write(text) // it never fails
	return made.Sum(nil)[:tagBytes]
}
