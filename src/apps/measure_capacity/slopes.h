// The measurements, one function for each library.

#ifndef SRC_APPS_MEASURE_CAPACITY_SLOPES_H_
#define SRC_APPS_MEASURE_CAPACITY_SLOPES_H_

namespace turmericwinch {

// Size and time of a published set, and what one change moves.
void MeasureConfig();

// Size and time of budget objects, bills and the host's ledger.
void MeasureBudget();

// Size and time of a change of the host list.
void MeasureHostList();

// Time of one choice among targets.
void MeasureRouting();

}  // namespace turmericwinch

#endif  // SRC_APPS_MEASURE_CAPACITY_SLOPES_H_
