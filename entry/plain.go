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
	// HeaderRepeat is the response header that marks the stored answer of an earlier
	// attempt.
	HeaderRepeat = "Shedkeel-Repeat"
	// maxKeyBytes limits the length of an idempotency key.
	maxKeyBytes = 255
	// maxClaimTries limits how often a call is claimed. Each time but the first replaces
	// the claim of an attempt that was never sent.
	maxClaimTries = 3
	// claimTimeout is the time limit of one claim or answer call to the keeper. It is
	// longer than claimTimeout in package keeper, within which the keeper replies.
	claimTimeout = 4 * time.Second
	// digestBytes is how many bytes of a request's SHA-256 a claim stores.
	digestBytes = 8
)

// servePlain serves a request to a plain service, at most once if it has an
// idempotency key.
func (entry *Entry) servePlain(writer http.ResponseWriter, request *http.Request) {
	call, key, err := entry.newPlainCall(writer, request)
	if err != nil {
		entry.writeError(writer, err)
		return
	}
	entry.assignID(writer, call)
	answered := false
	defer func() { entry.leaveGate(call, answered) }()
	var complete answer
	if key != "" {
		complete, err = entry.answerIdempotent(request.Context(), call, key)
	} else {
		complete, err = entry.completeAnswer(request.Context(), call)
	}
	entry.recordRequest(call, err)
	if err != nil {
		entry.writeError(writer, err)
		return
	}
	answered = true
	entry.writeAnswer(writer, complete)
}

// newPlainCall validates a request to a plain service, charges it to the account's
// rate limit and builds its call. It also returns the idempotency key, which is empty
// if the call has none. Only a call with a safe method and no key is repeatable.
func (entry *Entry) newPlainCall(writer http.ResponseWriter, request *http.Request) (*call, string, error) {
	caller, err := entry.authenticate(request)
	if err != nil {
		return nil, "", err
	}
	id := shedkeel.ServiceID(request.PathValue("service"))
	service, err := caller.service(id, shedkeel.KindPlain)
	if err != nil {
		return nil, "", err
	}
	path := strings.TrimPrefix(request.URL.EscapedPath(), "/services/"+string(id))
	key, err := idempotencyKey(request, service, path)
	if err != nil {
		return nil, "", err
	}
	timeout, err := callTimeout(request, service)
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
	header.Del("Authorization") // the bearer key is for the entry only
	header.Set("Shedkeel-Account", string(caller.account.ID))
	safe := request.Method == http.MethodGet || request.Method == http.MethodHead || request.Method == http.MethodOptions
	return &call{
		caller: caller, service: service, method: request.Method, path: path, header: header, body: body,
		timeout: timeout, began: now, repeatable: safe && key == "", freshConnection: !safe || key != "",
	}, key, nil
}

// idempotencyKey returns the idempotency key of a request, or "". It refuses a key
// longer than maxKeyBytes. It also refuses a request without a key, other than GET and
// HEAD, whose path begins with one of the service's OncePaths.
func idempotencyKey(request *http.Request, service *shedkeel.Service, path string) (string, error) {
	key := request.Header.Get(headerIdempotencyKey)
	if len(key) > maxKeyBytes {
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

// answerIdempotent runs a call with an idempotency key, or returns the answer of the
// earlier attempt that ran it. It stores the result of its attempt, for later attempts
// of the same call. It continues after the caller disconnects, so that the answer is
// available for the caller's retry.
func (entry *Entry) answerIdempotent(ctx context.Context, call *call, key string) (answer, error) {
	ctx = context.WithoutCancel(ctx)
	call.attemptID = entry.NewAttemptID()
	entry.attempts.begin(call.attemptID)
	earlier, err := entry.claim(ctx, call, key)
	if err != nil || earlier != nil {
		// The claim was not granted, or the reply to it was lost. In both cases
		// this attempt is never sent.
		entry.attempts.end(call.attemptID, wire.AnswerReply_NEVER_SENT, answer{})
		if err != nil {
			return answer{}, err
		}
		return *earlier, nil
	}
	complete, err := entry.completeAnswer(ctx, call)
	var notRun *shedkeel.NotRunError
	switch {
	case err == nil:
		entry.attempts.end(call.attemptID, wire.AnswerReply_KEPT, complete)
	case errors.As(err, &notRun):
		entry.attempts.end(call.attemptID, wire.AnswerReply_NEVER_SENT, answer{})
	default:
		entry.attempts.end(call.attemptID, wire.AnswerReply_UNKNOWN, answer{})
	}
	return complete, err
}

// claim acquires the right to run the call under its idempotency key, or returns the answer
// of an earlier attempt. The error is a NotRunError if the claim cannot be decided, a refusal
// if the key was used for another request, a stillRunningError if an earlier attempt runs or
// after maxClaimTries, and an UnknownRunError if the earlier attempt's result is unknown.
func (entry *Entry) claim(ctx context.Context, call *call, key string) (*answer, error) {
	request := &wire.ClaimCall{
		Account: string(call.caller.account.ID), Key: string(call.service.ID) + "/" + key,
		Attempt: call.attemptID, Holder: entry.claimHolder(), Digest: call.digest(),
	}
	for range maxClaimTries {
		reply, err := entry.requestClaim(ctx, request)
		if err != nil {
			return nil, &shedkeel.NotRunError{Reason: "the right to run the call once could not be had: " + err.Error(), RetryAfter: 2 * time.Second}
		}
		switch reply.GetStatus() {
		case wire.ClaimReply_GRANTED:
			return nil, nil //nolint:nilnil // granted: there is no earlier answer
		case wire.ClaimReply_MISMATCH:
			return nil, &refusal{status: http.StatusUnprocessableEntity, text: "this Idempotency-Key was used for another request; send a new key"}
		case wire.ClaimReply_UNAVAILABLE:
			return nil, &shedkeel.NotRunError{Reason: "the right to run the call once could not be had, the key-value service does not answer", RetryAfter: 2 * time.Second}
		case wire.ClaimReply_TAKEN:
		}
		state, kept := entry.earlierAnswer(ctx, reply)
		switch state {
		case wire.AnswerReply_KEPT:
			kept.header.Set(HeaderRepeat, "kept")
			return &kept, nil
		case wire.AnswerReply_RUNNING:
			return nil, &stillRunningError{}
		case wire.AnswerReply_NEVER_SENT:
			request.InsteadOf = reply.GetAttempt()
		case wire.AnswerReply_UNKNOWN:
			return nil, &shedkeel.UnknownRunError{Reason: "the call has run or may have run under an earlier try, whose answer is gone", Cause: errAnswerGone}
		}
	}
	return nil, &stillRunningError{}
}

// errAnswerGone is the cause when the state of an earlier attempt is UNKNOWN: its
// outcome is unknown, it is no longer remembered, or its entry does not answer.
var errAnswerGone = errors.New("the entry box that made it does not know or does not answer")

// requestClaim sends a claim to the keeper on this box.
func (entry *Entry) requestClaim(ctx context.Context, request *wire.ClaimCall) (*wire.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := entry.Keeper.Do(ctx, &wire.Call{Kind: &wire.Call_Claim{Claim: request}})
	if err != nil {
		return nil, err
	}
	return reply.GetClaim(), nil
}

// earlierAnswer returns the state and answer of the attempt that holds a claim. Unless
// this entry made that attempt, it asks the entry that did, through the keeper. The
// state is UNKNOWN if the other entry does not answer or its answer cannot be decoded.
func (entry *Entry) earlierAnswer(ctx context.Context, claimed *wire.ClaimReply) (wire.AnswerReply_State, answer) {
	if claimed.GetHolder() == entry.claimHolder() {
		state, kept := entry.attempts.find(claimed.GetAttempt())
		kept.header = kept.header.Clone()
		return state, kept
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	question := &wire.AnswerCall{Holder: claimed.GetHolder(), Attempt: claimed.GetAttempt()}
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

// digest returns the first digestBytes of a hash of method, path and body, in
// hexadecimal. It shows whether an idempotency key is reused for another request.
func (call *call) digest() string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(call.method + " " + call.path + "\n"))
	_, _ = hash.Write(call.body)
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}
