package formation

import (
	"math"

	"shedkeel.org/shedkeel"
)

const (
	// configuredWeight is the number of measured requests at which measured and
	// configured shares have equal weight.
	configuredWeight = 200.0
	// sameDemandRatio is the ratio of a measured share to the configured one, or of the
	// configured to the measured, up to which the two count as equal. At a steady 130
	// requests per second, measured shares vary by a tenth. A burst of 14 s, with 1.6 times
	// the requests of one model and 0.7 times those of the other, ends before the move of a
	// group between models pays off.
	sameDemandRatio = 1.5
)

// workShares returns each model's share of the total work, measured in box time. It
// averages measured and configured shares: the more requests were measured, the more the
// measured shares count, because the configured ones are only an estimate from before any
// request arrived. It returns the configured shares if the measurement is not usable or
// all averages are within sameDemandRatio of them.
func workShares(engine *shedkeel.Engine, demand map[shedkeel.ModelID]shedkeel.ModelDemand) map[shedkeel.ModelID]float64 {
	configured := map[shedkeel.ModelID]float64{}
	total, work, requests := 0.0, 0.0, 0.0
	for index := range engine.Models {
		model := &engine.Models[index]
		configured[model.ID] = model.Share
		total += model.Share
		work += boxWork(engine, model, demand[model.ID])
		requests += demand[model.ID].Requests
	}
	usable := work > 0 && requests > 0 && !math.IsInf(work, 0) && !math.IsInf(requests, 0) // false also for NaN
	if !usable || total <= 0 {
		return configured
	}
	weight := requests / (requests + configuredWeight)
	measured := map[shedkeel.ModelID]float64{}
	same := true
	for index := range engine.Models {
		model := &engine.Models[index]
		share := weight*total*boxWork(engine, model, demand[model.ID])/work + (1-weight)*model.Share
		measured[model.ID] = share
		same = same && share <= sameDemandRatio*model.Share && model.Share <= sameDemandRatio*share
	}
	if same {
		return configured
	}
	return measured
}

// boxWork returns the box time, in seconds, that the demand on a model takes: the time
// for prefilling the prompts, and the time that each request adds to the decoding steps. It
// leaves out the base time of a step, which all running requests share.
func boxWork(engine *shedkeel.Engine, model *shedkeel.Model, demand shedkeel.ModelDemand) float64 {
	if engine.ReadPerSecond <= 0 {
		return 0
	}
	seconds := demand.PromptTokens/engine.ReadPerSecond + demand.AnswerTokens*engine.StepPerRequest.Seconds()
	return seconds * model.EffectiveSlowdown() * float64(model.Size)
}
