package shedkeel

import (
	"crypto/rand"
	"encoding/hex"
	"hash/fnv"
	"net"
	"strconv"
	"time"
)

// nonceBytes is the length of the random names of writes and attempts.
const nonceBytes = 8

// NewNonce returns a new random name.
func NewNonce() string {
	var raw [nonceBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// NewIncarnation returns a name for a start of a process that sorts after those
// of earlier starts on the same box, as long as its clock does not step back
// over a start.
func NewIncarnation(now time.Time) string {
	return strconv.FormatInt(now.UnixMilli(), 36) + "-" + NewNonce()[:4]
}

// HolderOf names the entry of a box at one of its starts, as claims do.
func HolderOf(node NodeID, incarnation string) string {
	return string(node) + "/" + incarnation
}

// IsAddress reports whether the text is host:port, both stated.
func IsAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && host != "" && port != ""
}

// HashNode shortens a node's name for messages that speak of many nodes.
func HashNode(node NodeID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node)) // it never fails
	return hash.Sum64()
}
