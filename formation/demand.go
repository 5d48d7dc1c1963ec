package formation

import (
	"math"

	"shedkeel.org/shedkeel"
)

const (
	// configuredWeight is the number of measured requests at which measured and
	// configured shares have equal weight.
	configuredWeight = 200.0
	// sameDemandRatio is the ratio of a model's averaged share (workShares) to the
	// configured one, or of the configured to the averaged one, up to which the two count
	// as equal. At a steady 130 requests per second, measured shares vary by a tenth. A
	// ratio of 1.25 is too low: at that ratio, a burst of 14 s, with 1.6 times the requests
	// of one model and 0.7 times those of the other, moves a group between models and ends
	// before the move pays off.
	sameDemandRatio = 1.5
)

// workShares returns each model's share of the total work, in box time (boxWork). The shares
// have the same sum as the configured ones. It averages measured and configured shares: the
// more requests were measured, the more the measured shares count, because the configured
// ones are only an estimate from before any request arrived. It returns the configured shares
// if their sum is not positive, if the measured sums are not positive and finite, or if all
// averages are within sameDemandRatio of the configured shares.
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

// boxWork returns the box time that the demand for a model takes: the seconds for which a
// group works, times its boxes. A group takes time to prefill the prompts, and each request
// adds time to the decoding steps; both times are multiplied by the model's EffectiveSlowdown.
// The result leaves out the base time of a step, which all running requests share. It is 0 if
// the engine's times are not known.
func boxWork(engine *shedkeel.Engine, model *shedkeel.Model, demand shedkeel.ModelDemand) float64 {
	if engine.ReadPerSecond <= 0 {
		return 0
	}
	seconds := demand.PromptTokens/engine.ReadPerSecond + demand.AnswerTokens*engine.StepPerRequest.Seconds()
	return seconds * model.EffectiveSlowdown() * float64(model.Size)
}
