package serve

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"sync"

	"shedkeel.org/shedkeel"
)

// digestBytes is the length of a request digest in bytes. The digest is the first 128 bits of
// the HMAC, which make collisions negligible.
const digestBytes = 16

// digester computes the digests of requests with one key.
type digester struct {
	hash   hash.Hash
	prefix []byte // buffer for the parts that are hashed before the body
	sum    []byte // buffer for the resulting hash
}

// digesterPool keeps digesters for reuse, because creating a digester takes as long as
// hashing a request of a kilobyte.
type digesterPool struct{ pool sync.Pool }

// get returns a digester ready for a new request. Every call must pass the same key.
func (digesterPool *digesterPool) get(key []byte) *digester {
	if pooled, ok := digesterPool.pool.Get().(*digester); ok {
		pooled.hash.Reset()
		pooled.prefix, pooled.sum = pooled.prefix[:0], pooled.sum[:0]
		return pooled
	}
	return &digester{hash: hmac.New(sha256.New, key)}
}

// computeDigest returns the digest of the request's content: method, host, target, client
// account and body. The request's ID and other headers are left out, so that a request that a
// caller sends again has the same digest as before, at all processes with the same DigestKey.
func (exchange *exchange) computeDigest() shedkeel.RequestDigest {
	digester := exchange.handler.digesters.get(exchange.handler.DigestKey)
	defer exchange.handler.digesters.pool.Put(digester)
	account := ""
	if exchange.account != nil {
		account = string(exchange.account.ID)
	}
	for _, part := range [...]string{exchange.request.Method, exchange.call.Host, exchange.call.Target, account} {
		digester.prefix = append(digester.prefix, part...)
		digester.prefix = append(digester.prefix, 0) // separates the parts
	}
	_, _ = digester.hash.Write(digester.prefix) // a hash never returns an error
	_, _ = exchange.body.WriteTo(digester.hash)
	digester.sum = digester.hash.Sum(digester.sum)
	return shedkeel.RequestDigest(hex.EncodeToString(digester.sum[:digestBytes]))
}
