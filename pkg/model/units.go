package model

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Money is an amount in billionths of a US dollar, so that sums stay exact.
type Money int64

// Dollar is one US dollar.
const Dollar Money = 1_000_000_000

// String formats the amount in dollars.
func (m Money) String() string {
	return strconv.FormatFloat(float64(m)/float64(Dollar), 'f', -1, 64) + " USD"
}

// TokenPrice is the price of one million tokens.
type TokenPrice Money

// Cost returns the price of n tokens.
func (p TokenPrice) Cost(n int) Money {
	return Money(math.Round(float64(p) * float64(n) / 1e6))
}

// VolumePrice is the price of one gigabyte (10^9 bytes) of traffic.
type VolumePrice Money

// Cost returns the price of n bytes.
func (p VolumePrice) Cost(n int) Money {
	return Money(math.Round(float64(p) * float64(n) / 1e9))
}

// Bytes is a size in bytes.
type Bytes int64

// Share is a fraction between 0 and 1.
type Share float64

// Rate is a number of events per second.
type Rate float64

// Quality is a rating between 0 and 1.
type Quality float64

// ParseError reports a value with a wrong unit or format.
type ParseError struct {
	Value  string
	Remedy string
}

// Error returns the value and the remedy.
func (e *ParseError) Error() string {
	return fmt.Sprintf("bad value %q: %s", e.Value, e.Remedy)
}

// ParseMoney parses an amount such as "5 USD".
func ParseMoney(s string) (Money, error) {
	return parseAmount(s, "USD", "write an amount with its unit, such as 5 USD")
}

// ParseTokenPrice parses a price such as "0.20 USD/Mtok".
func ParseTokenPrice(s string) (TokenPrice, error) {
	m, err := parseAmount(s, "USD/Mtok", "write a price for a million tokens, such as 0.20 USD/Mtok")
	return TokenPrice(m), err
}

// SpendRate is an amount of money per hour.
type SpendRate Money

// PerSecond returns the amount of money per second.
func (s SpendRate) PerSecond() float64 { return float64(s) / 3600 }

// ParseSpendRate parses a rate of spending such as "5 USD/h".
func ParseSpendRate(s string) (SpendRate, error) {
	const remedy = "write an amount above zero for an hour, such as 5 USD/h"
	m, err := parseAmount(s, "USD/h", remedy)
	if err == nil && m == 0 {
		err = &ParseError{Value: s, Remedy: remedy}
	}
	return SpendRate(m), err
}

// ParseVolumePrice parses a price such as "0.02 USD/GB".
func ParseVolumePrice(s string) (VolumePrice, error) {
	m, err := parseAmount(s, "USD/GB", "write a price for a gigabyte, such as 0.02 USD/GB")
	return VolumePrice(m), err
}

func parseAmount(s, unit, remedy string) (Money, error) {
	number, ok := strings.CutSuffix(strings.TrimSpace(s), unit)
	if !ok {
		return 0, &ParseError{Value: s, Remedy: remedy}
	}
	f, err := parseNumber(number)
	if err != nil || f > 1e6 {
		return 0, &ParseError{Value: s, Remedy: remedy}
	}
	return Money(math.Round(f * float64(Dollar))), nil
}

// ParseShare parses a percentage such as "2%".
func ParseShare(s string) (Share, error) {
	const remedy = "write a percentage between 0% and 100%, such as 2%"
	number, ok := strings.CutSuffix(strings.TrimSpace(s), "%")
	if !ok {
		return 0, &ParseError{Value: s, Remedy: remedy}
	}
	f, err := parseNumber(number)
	if err != nil || f > 100 {
		return 0, &ParseError{Value: s, Remedy: remedy}
	}
	return Share(f / 100), nil
}

// ParseRate parses a rate such as "50/s".
func ParseRate(s string) (Rate, error) {
	const remedy = "write a rate above zero with its unit, such as 50/s"
	number, ok := strings.CutSuffix(strings.TrimSpace(s), "/s")
	if !ok {
		return 0, &ParseError{Value: s, Remedy: remedy}
	}
	f, err := parseNumber(number)
	if err != nil || f == 0 {
		return 0, &ParseError{Value: s, Remedy: remedy}
	}
	return Rate(f), nil
}

// ParseBytes parses a size above zero and up to 1 TiB such as "4MiB".
func ParseBytes(s string) (Bytes, error) {
	const remedy = "write a size above zero with its unit: B, KiB, MiB or GiB"
	units := []struct {
		suffix string
		size   float64
	}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}
	for _, u := range units {
		number, ok := strings.CutSuffix(strings.TrimSpace(s), u.suffix)
		if !ok {
			continue
		}
		f, err := parseNumber(number)
		if err != nil || f == 0 || f*u.size > 1<<40 {
			break
		}
		return Bytes(f * u.size), nil
	}
	return 0, &ParseError{Value: s, Remedy: remedy}
}

// ParseDuration parses a duration above zero such as "3s" or "24h".
func ParseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(strings.TrimSpace(s))
	if err != nil || d <= 0 {
		return 0, &ParseError{Value: s, Remedy: "write a duration above zero with its unit, such as 30s or 24h"}
	}
	return d, nil
}

func parseNumber(s string) (float64, error) {
	f, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil {
		return 0, err
	}
	if f < 0 || math.IsInf(f, 0) || math.IsNaN(f) {
		return 0, strconv.ErrRange
	}
	return f, nil
}

// String formats the share as a percentage.
func (s Share) String() string { return strconv.FormatFloat(100*float64(s), 'f', -1, 64) + "%" }
