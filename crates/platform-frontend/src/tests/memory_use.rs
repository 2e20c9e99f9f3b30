use super::*;

#[test]
fn resident_memory_is_parsed_from_the_status_of_a_process() {
    let status =
        "Name:\torchidtally\nVmPeak:\t  90000 kB\nVmHWM:\t    2048 kB\nVmRSS:\t    1024 kB\n";
    let expected = ResidentMemory {
        current: 1 << 20,
        peak: 2 << 20,
    };
    assert_eq!(ResidentMemory::parse(status), Some(expected));
}

#[test]
fn resident_memory_is_unknown_where_a_line_is_missing_or_malformed() {
    for status in ["", "VmHWM:\t2048 kB\n", "VmHWM:\tmany kB\nVmRSS:\t1 kB\n"] {
        assert_eq!(ResidentMemory::parse(status), None, "{status:?}");
    }
}
