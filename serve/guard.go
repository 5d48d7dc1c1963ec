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
func (life *life) judge(ctx context.Context) (done func(), err error) {
	if !life.front.guarded() {
		return func() {}, nil
	}
	switch life.front.Guard.Judge(life.digest()) {
	case shedkeel.Contained:
		return nil, life.refuse(causeContained, errCalledBack.Error()+", so it is sent to none any more")
	case shedkeel.Quarantined:
		done, allowed := life.front.Guard.Try(ctx, life.digest())
		if !allowed {
			return nil, life.refuse(causeQuarantined, errCalledBack.Error()+", and one try of it at a time is made")
		}
		life.alone = true
		return done, nil
	}
	return func() {}, nil
}

// mayGoOn reports whether the request may be sent once more: servers may have
// ended under it meanwhile.
func (life *life) mayGoOn() bool {
	if !life.front.guarded() {
		return true
	}
	judgment := life.front.Guard.Judge(life.digest())
	return judgment == shedkeel.Unblamed || life.alone && judgment == shedkeel.Quarantined
}

// answered notes that a server has answered the request whole.
func (life *life) answered() {
	if life.front.guarded() {
		life.front.Guard.Answered(life.digest())
	}
}

// enter notes that the request is under way, so that it can be called back.
func (front *Front) enter(entered *life) {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	if front.lives == nil {
		front.lives = map[*life]struct{}{}
	}
	front.lives[entered] = struct{}{}
}

func (front *Front) leave(life *life) {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	delete(front.lives, life)
}

// CallBack gives up all tries of a request whose answers have not begun: copies
// that wait at servers end those as well once they are run. One whose answer has
// begun may clear the request.
func (front *Front) CallBack(request shedkeel.RequestDigest) {
	for _, life := range front.underWay() {
		if !life.alone && !life.begun.Load() && life.digest() == request {
			life.callBack(errCalledBack)
		}
	}
}

// Expire gives up the requests whose limit is over. Their own timers stand while the
// box is suspended, and would hold them for what was left then.
func (front *Front) Expire(now time.Duration) {
	for _, life := range front.underWay() {
		if now > life.limit {
			life.callBack(context.DeadlineExceeded)
		}
	}
}

func (front *Front) underWay() []*life {
	front.mutex.Lock()
	defer front.mutex.Unlock()
	var found []*life
	for life := range front.lives {
		found = append(found, life)
	}
	return found
}
