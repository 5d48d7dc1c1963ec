package shedkeel

import (
	"crypto/rand"
	"encoding/hex"
	"hash/fnv"
	"net"
	"strconv"
	"time"
)

// nonceBytes is the length in bytes of the random IDs of writes and attempts.
const nonceBytes = 8

// NewNonce returns a new random ID in hex.
func NewNonce() string {
	var raw [nonceBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// NewIncarnation returns an ID for a start of a process at the given time. It sorts
// after the IDs of earlier starts on the same box, unless the box's clock was set
// back to before one of them.
func NewIncarnation(now time.Time) string {
	return strconv.FormatInt(now.UnixMilli(), 36) + "-" + NewNonce()[:4]
}

// ClaimHolder returns the name that identifies one start of an entry as the holder
// of claims: its node and its incarnation.
func ClaimHolder(node NodeID, incarnation string) string {
	return string(node) + "/" + incarnation
}

// IsAddress reports whether the text is host:port with neither part empty.
func IsAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && host != "" && port != ""
}

// HashNode returns a hash of a node's name, which stands for the name in messages
// about many nodes to keep them small.
func HashNode(node NodeID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node)) // Write of a hash never fails
	return hash.Sum64()
}
