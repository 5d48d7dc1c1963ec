package serve

import (
	"context"
	"errors"
	"time"

	"shedkeel.org/shedkeel"
)

// errCalledBack says that a request was given up because servers have ended under
// other tries of it.
var errCalledBack = errors.New("backend servers have ended under this very request")

// guarded reports whether something is held against any request.
func (front *Front) guarded() bool { return front.Guard != nil && !front.Guard.Idle() }

// judge finds out whether the request may be sent. If so, done is to be called
// when it is over.
func (exchange *exchange) judge(ctx context.Context) (done func(), err error) {
	if !exchange.front.guarded() {
		return func() {}, nil
	}
	switch exchange.front.Guard.Judge(exchange.digest()) {
	case shedkeel.Contained:
		return nil, exchange.refuse(causeContained, errCalledBack.Error()+", so it is sent to none any more")
	case shedkeel.Quarantined:
		done, allowed := exchange.front.Guard.Try(ctx, exchange.digest())
		if !allowed {
			return nil, exchange.refuse(causeQuarantined, errCalledBack.Error()+", and one try of it at a time is made")
		}
		exchange.alone = true
		return done, nil
	}
	return func() {}, nil
}

// mayGoOn reports whether the request may be sent once more: servers may have
// ended under it meanwhile.
func (exchange *exchange) mayGoOn() bool {
	if !exchange.front.guarded() {
		return true
	}
	judgment := exchange.front.Guard.Judge(exchange.digest())
	return judgment == shedkeel.Unblamed || exchange.alone && judgment == shedkeel.Quarantined
}

// answered notes that a server has answered the request whole.
func (exchange *exchange) answered() {
	if exchange.front.guarded() {
		exchange.front.Guard.Answered(exchange.digest())
	}
}

// enter notes that the request is under way, so that it can be called back.
func (front *Front) enter(entered *exchange) {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	if front.exchanges == nil {
		front.exchanges = map[*exchange]struct{}{}
	}
	front.exchanges[entered] = struct{}{}
}

func (front *Front) leave(exchange *exchange) {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	delete(front.exchanges, exchange)
}

// CallBack gives up all tries of a request whose answers have not begun: copies
// that wait at servers end those as well once they are run. One whose answer has
// begun may clear the request.
func (front *Front) CallBack(request shedkeel.RequestDigest) {
	for _, exchange := range front.underWay() {
		if !exchange.alone && !exchange.begun.Load() && exchange.digest() == request {
			exchange.callBack(errCalledBack)
		}
	}
}

// Expire gives up the requests whose limit is over. Their own timers stand while the
// box is suspended, and would hold them for what was left then.
func (front *Front) Expire(now time.Duration) {
	for _, exchange := range front.underWay() {
		if now > exchange.limit {
			exchange.callBack(context.DeadlineExceeded)
		}
	}
}

func (front *Front) underWay() []*exchange {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	var found []*exchange
	for exchange := range front.exchanges {
		found = append(found, exchange)
	}
	return found
}
