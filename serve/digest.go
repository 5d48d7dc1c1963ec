package serve

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"io"

	"shedkeel.org/shedkeel"
)

// digestBytes is how much of the hash names a request: enough that no two are
// taken for each other.
const digestBytes = 16

// makeDigest names what the request asks for: the same in all tries of it, at all
// processes that have the key.
func (life *life) makeDigest() shedkeel.RequestDigest {
	hash := hmac.New(sha256.New, life.front.DigestKey)
	account := ""
	if life.account != nil {
		account = string(life.account.ID)
	}
	for _, part := range []string{life.request.Method, life.call.Host, life.call.Target, account} {
		_, _ = io.WriteString(hash, part) // it never fails
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(life.body)
	return shedkeel.RequestDigest(hex.EncodeToString(hash.Sum(nil)[:digestBytes]))
}
