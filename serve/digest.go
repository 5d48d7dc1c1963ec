package serve

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"sync"

	"shedkeel.org/shedkeel"
)

// digestBytes is how much of the hash names a request: enough that no two are
// taken for each other.
const digestBytes = 16

// namer names requests with one key.
type namer struct {
	hash hash.Hash
	head []byte
	sum  []byte
}

// namers are kept for the next request: making one takes as long as naming a
// request of a kilobyte.
type namers struct{ pool sync.Pool }

func (namers *namers) get(key []byte) *namer {
	if kept, ok := namers.pool.Get().(*namer); ok {
		kept.hash.Reset()
		kept.head, kept.sum = kept.head[:0], kept.sum[:0]
		return kept
	}
	return &namer{hash: hmac.New(sha256.New, key)}
}

// makeDigest names what the request asks for: the same in all tries of it, at all
// processes that have the key.
func (exchange *exchange) makeDigest() shedkeel.RequestDigest {
	namer := exchange.front.namers.get(exchange.front.DigestKey)
	defer exchange.front.namers.pool.Put(namer)
	account := ""
	if exchange.account != nil {
		account = string(exchange.account.ID)
	}
	for _, part := range [...]string{exchange.request.Method, exchange.call.Host, exchange.call.Target, account} {
		namer.head = append(namer.head, part...)
		namer.head = append(namer.head, 0)
	}
	_, _ = namer.hash.Write(namer.head) // it never fails
	_, _ = namer.hash.Write(exchange.body)
	namer.sum = namer.hash.Sum(namer.sum)
	return shedkeel.RequestDigest(hex.EncodeToString(namer.sum[:digestBytes]))
}
