package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
	"time"

	"shedkeel.org/shedkeel"
	"shedkeel.org/shedkeel/wire"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// HeaderRepeat says that an answer is the kept one of an earlier try.
	HeaderRepeat = "Shedkeel-Repeat"
	maxKey       = 255
	// maxClaims bounds how often a call is claimed anew in place of tries
	// that never ran.
	maxClaims = 3
	// claimWait is how long a claim is waited for.
	claimWait = 4 * time.Second
	// digestBytes is how much of a request's SHA-256 a claim keeps.
	digestBytes = 8
)

func (entry *Entry) servePlain(writer http.ResponseWriter, request *http.Request) {
	call, key, err := entry.plainCall(writer, request)
	if err != nil {
		entry.writeError(writer, err)
		return
	}
	entry.name(writer, call)
	answered := false
	defer func() { entry.leave(call, answered) }()
	var whole answer
	if key != "" {
		whole, err = entry.answerOnce(request.Context(), call, key)
	} else {
		whole, err = entry.answerWhole(request.Context(), call)
	}
	entry.remember(call, err)
	if err != nil {
		entry.writeError(writer, err)
		return
	}
	answered = true
	entry.writeAnswer(writer, whole)
}

// plainCall checks a request to a plain service and makes it ready to be sent.
// The key is empty if the call may be repeated by the caller as it likes.
func (entry *Entry) plainCall(writer http.ResponseWriter, request *http.Request) (*call, string, error) {
	caller, err := entry.caller(request)
	if err != nil {
		return nil, "", err
	}
	id := shedkeel.ServiceID(request.PathValue("service"))
	service, err := caller.service(id, shedkeel.KindPlain)
	if err != nil {
		return nil, "", err
	}
	path := strings.TrimPrefix(request.URL.EscapedPath(), "/services/"+string(id))
	key, err := onceKey(request, service, path)
	if err != nil {
		return nil, "", err
	}
	deadline, err := timeout(request, service)
	if err != nil {
		return nil, "", err
	}
	body, err := entry.readBody(writer, request)
	if err != nil {
		return nil, "", err
	}
	now := entry.Timers.Now()
	if err := entry.limiter.Take(caller.account.ID, now); err != nil {
		return nil, "", err
	}
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	header := request.Header.Clone()
	header.Del("Authorization") // the key is between the caller and us
	header.Set("Shedkeel-Account", string(caller.account.ID))
	safe := request.Method == http.MethodGet || request.Method == http.MethodHead || request.Method == http.MethodOptions
	return &call{
		caller: caller, service: service, method: request.Method, path: path, header: header, body: body,
		deadline: deadline, began: now, repeatable: safe && key == "", fresh: !safe || key != "",
	}, key, nil
}

// onceKey returns the key of a call that must not be repeated: one that carries
// a key, or whose path the operators listed and which therefore needs one.
func onceKey(request *http.Request, service *shedkeel.Service, path string) (string, error) {
	key := request.Header.Get(headerIdempotencyKey)
	if len(key) > maxKey {
		return "", &refusal{status: http.StatusBadRequest, text: "the Idempotency-Key is longer than 255 bytes; send a shorter one"}
	}
	if key != "" {
		return key, nil
	}
	for _, prefix := range service.OncePaths {
		if strings.HasPrefix(path, prefix) && request.Method != http.MethodGet && request.Method != http.MethodHead {
			return "", &refusal{status: http.StatusBadRequest, text: "calls to " + prefix + " must not run twice; send an Idempotency-Key that is new for each call and the same for its repeats"}
		}
	}
	return "", nil
}

// answerOnce runs a call that must not be repeated, or gives the answer of the
// try that ran it. It goes on when the caller leaves, to keep the answer for
// its repeat.
func (entry *Entry) answerOnce(ctx context.Context, call *call, key string) (answer, error) {
	ctx = context.WithoutCancel(ctx)
	call.attempt = entry.NewAttempt()
	entry.attempts.begin(call.attempt)
	earlier, err := entry.claim(ctx, call, key)
	if err != nil || earlier != nil {
		// This attempt never got the right to run, or cannot know that it
		// got it. It will not run.
		entry.attempts.end(call.attempt, wire.AnswerReply_NEVER_SENT, answer{})
		if err != nil {
			return answer{}, err
		}
		return *earlier, nil
	}
	whole, err := entry.answerWhole(ctx, call)
	var notRun *shedkeel.NotRunError
	switch {
	case err == nil:
		entry.attempts.end(call.attempt, wire.AnswerReply_KEPT, whole)
	case errors.As(err, &notRun):
		entry.attempts.end(call.attempt, wire.AnswerReply_NEVER_SENT, answer{})
	default:
		entry.attempts.end(call.attempt, wire.AnswerReply_UNKNOWN, answer{})
	}
	return whole, err
}

// claim gets the right to run the call under the key. It returns the kept
// answer if an earlier try has run it.
func (entry *Entry) claim(ctx context.Context, call *call, key string) (*answer, error) {
	request := &wire.ClaimCall{
		Account: string(call.caller.account.ID), Key: string(call.service.ID) + "/" + key,
		Attempt: call.attempt, Holder: entry.holder(), Digest: call.digest(),
	}
	for range maxClaims {
		reply, err := entry.askClaim(ctx, request)
		if err != nil {
			return nil, &shedkeel.NotRunError{Reason: "the right to run the call once could not be had: " + err.Error(), RetryAfter: 2 * time.Second}
		}
		switch reply.GetStatus() {
		case wire.ClaimReply_GRANTED:
			return nil, nil //nolint:nilnil // no earlier answer: the call is ours to run
		case wire.ClaimReply_MISMATCH:
			return nil, &refusal{status: http.StatusUnprocessableEntity, text: "this Idempotency-Key was used for another request; send a new key"}
		case wire.ClaimReply_UNAVAILABLE:
			return nil, &shedkeel.NotRunError{Reason: "the right to run the call once could not be had, the key-value service does not answer", RetryAfter: 2 * time.Second}
		case wire.ClaimReply_TAKEN:
		}
		state, kept := entry.askAnswer(ctx, reply)
		switch state {
		case wire.AnswerReply_KEPT:
			kept.header.Set(HeaderRepeat, "kept")
			return &kept, nil
		case wire.AnswerReply_RUNNING:
			return nil, &runningError{}
		case wire.AnswerReply_NEVER_SENT:
			request.InsteadOf = reply.GetAttempt()
		case wire.AnswerReply_UNKNOWN:
			return nil, &shedkeel.UnknownRunError{Reason: "the call has run or may have run under an earlier try, whose answer is gone", Cause: errAnswerGone}
		}
	}
	return nil, &runningError{}
}

var errAnswerGone = errors.New("the entry box that made it does not know or does not answer")

func (entry *Entry) askClaim(ctx context.Context, request *wire.ClaimCall) (*wire.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	reply, err := entry.Keeper.Do(ctx, &wire.Call{Kind: &wire.Call_Claim{Claim: request}})
	if err != nil {
		return nil, err
	}
	return reply.GetClaim(), nil
}

// askAnswer asks the holder of a claim what came of it.
func (entry *Entry) askAnswer(ctx context.Context, standing *wire.ClaimReply) (wire.AnswerReply_State, answer) {
	if standing.GetHolder() == entry.holder() {
		state, kept := entry.attempts.find(standing.GetAttempt())
		kept.header = kept.header.Clone()
		return state, kept
	}
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	question := &wire.AnswerCall{Holder: standing.GetHolder(), Attempt: standing.GetAttempt()}
	reply, err := entry.Keeper.Do(ctx, &wire.Call{Kind: &wire.Call_Answer{Answer: question}})
	if err != nil {
		return wire.AnswerReply_UNKNOWN, answer{}
	}
	if reply.GetAnswer().GetState() != wire.AnswerReply_KEPT {
		return reply.GetAnswer().GetState(), answer{}
	}
	kept, err := answerFromWire(reply.GetAnswer())
	if err != nil {
		return wire.AnswerReply_UNKNOWN, answer{}
	}
	return wire.AnswerReply_KEPT, kept
}

// digest tells one request from another under the same key.
func (call *call) digest() string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(call.method + " " + call.path + "\n"))
	_, _ = hash.Write(call.body)
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}
