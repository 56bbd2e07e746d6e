use super::*;

fn timer_fired(timer: u32) -> DriverEvent {
    DriverEvent::TimerFired { timer: TimerId(timer) }
}

fn timer_number(event: &DriverEvent) -> u32 {
    match event {
        DriverEvent::TimerFired { timer } => timer.0,
        _ => panic!("the test queues only timer events"),
    }
}

#[test]
fn events_added_while_another_is_processed_are_processed_after_it() {
    let queue = EventQueue::default();
    queue.push(timer_fired(1));
    queue.push(timer_fired(2));
    let mut log = Vec::new();
    queue.process_all(|event| {
        let timer = timer_number(&event);
        log.push(format!("begin {timer}"));
        if timer == 1 {
            queue.push(timer_fired(3));
            queue.process_all(|_| panic!("the outer call processes all events"));
        }
        log.push(format!("end {timer}"));
    });
    assert_eq!(log, ["begin 1", "end 1", "begin 2", "end 2", "begin 3", "end 3"]);
}

#[test]
fn the_queue_processes_events_again_after_it_was_empty() {
    let queue = EventQueue::default();
    let mut processed = Vec::new();
    for timer in [1, 2] {
        queue.push(timer_fired(timer));
        queue.process_all(|event| processed.push(timer_number(&event)));
    }
    assert_eq!(processed, [1, 2]);
}
