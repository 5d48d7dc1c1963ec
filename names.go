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
	_, _ = rand.Read(raw[:]) // Read of crypto/rand never fails
	return hex.EncodeToString(raw[:])
}

// NewIncarnation returns an incarnation: the ID of a process that starts at the given
// time. The ID consists of the Unix time in milliseconds in base 36, a hyphen and four
// random hex digits. It sorts after the IDs of processes that started on the same box in
// an earlier millisecond, unless the box's clock was set back in between.
func NewIncarnation(now time.Time) string {
	return strconv.FormatInt(now.UnixMilli(), 36) + "-" + NewNonce()[:4]
}

// ClaimHolder returns the name under which an entry holds claims: its node and its
// incarnation. An entry that restarts is another holder.
func ClaimHolder(node NodeID, incarnation string) string {
	return string(node) + "/" + incarnation
}

// IsAddress reports whether the text is host:port, with a host and a port from 1 to 65535.
func IsAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// HashNode returns a hash of a node's name, which stands for the name in messages
// about many nodes to keep them small.
func HashNode(node NodeID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node)) // Write of a hash never fails
	return hash.Sum64()
}
